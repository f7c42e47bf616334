/** Divides updates between instances into datagrams. */
import {createJSONRPCNotification} from 'json-rpc-2.0';
import {emptyUpdate, PEER_UPDATE_METHOD, type PeerUpdate} from './peerMessages.js';

/** Size of an update, in bytes, that fits into one packet without IP fragmentation together with its envelope. */
const MAX_UPDATE_BYTES = 1400;
/** Largest datagram of UDP over IPv4, in bytes. */
const MAX_DATAGRAM_BYTES = 65_507;

type SentEntry = PeerUpdate['sent'][number];
type CrashEntry = PeerUpdate['crashes'][number];

/** An update to which entries are added. */
interface UpdatePart extends PeerUpdate {
  readonly usage: NonNullable<PeerUpdate['usage']>[number][];
}

/**
 * Datagrams with the entries of an update, each in one of them. An entry that is too long for a packet is shortened if it
 * may be, or has a datagram of its own; one that no datagram can hold is passed to `onTooLong` with its size in bytes.
 */
export function encodeUpdate(
  update: PeerUpdate,
  onTooLong: (bytes: number) => void,
): readonly Buffer[] {
  const datagrams: Buffer[] = [];
  for (const part of divideUpdate(update)) {
    const message = createJSONRPCNotification(PEER_UPDATE_METHOD, part);
    const datagram = Buffer.from(JSON.stringify(message));
    if (datagram.length <= MAX_DATAGRAM_BYTES) datagrams.push(datagram);
    else onTooLong(datagram.length);
  }
  return datagrams;
}

/** Adds the entries one after another, so that the work is proportional to their number whatever their sizes are. */
function divideUpdate(update: PeerUpdate): readonly PeerUpdate[] {
  if (sizeOf(update) <= MAX_UPDATE_BYTES) return [update];
  const {from, configuration} = update;
  const createPart = (): UpdatePart => ({
    ...emptyUpdate(from),
    ...(configuration === undefined ? {} : {configuration}),
    usage: [],
  });
  let part = createPart();
  const parts = [part];
  const emptyBytes = sizeOf(part);
  let bytes = emptyBytes;
  const addAll = <T>(entries: readonly T[], listOf: (part: UpdatePart) => T[]) => {
    for (const entry of entries) {
      const entryBytes = sizeOf(entry) + 1;
      if (bytes > emptyBytes && bytes + entryBytes > MAX_UPDATE_BYTES) {
        part = createPart();
        parts.push(part);
        bytes = emptyBytes;
      }
      listOf(part).push(entry);
      bytes += entryBytes;
    }
  };
  const freeBytes = MAX_UPDATE_BYTES - emptyBytes;
  addAll(
    update.sent.map((sent) => shortenSent(sent, freeBytes)),
    ({sent}) => sent,
  );
  addAll(update.begun, ({begun}) => begun);
  addAll(update.ended, ({ended}) => ended);
  addAll(update.slowness, ({slowness}) => slowness);
  addAll(update.speeds, ({speeds}) => speeds);
  addAll(update.unreachable, ({unreachable}) => unreachable);
  addAll(
    update.crashes.flatMap((crash) => divideCrash(crash, freeBytes)),
    ({crashes}) => crashes,
  );
  addAll(update.limits, ({limits}) => limits);
  addAll(update.permitRequests, ({permitRequests}) => permitRequests);
  addAll(update.permits, ({permits}) => permits);
  addAll(update.usage ?? [], ({usage}) => usage);
  return parts;
}

/**
 * Leaves out prompt parts beyond the first ones that fit. Peers then take them as a part of the request's own, and so as
 * not cached.
 */
function shortenSent(sent: SentEntry, freeBytes: number): SentEntry {
  if (sizeOf(sent) < freeBytes) return sent;
  const [id, endpoint, uncachedTokens, promptTokens, maxOutputTokens, pauseMs, parts] = sent;
  const shorten = (kept: typeof parts): SentEntry => [
    id,
    endpoint,
    uncachedTokens,
    promptTokens,
    maxOutputTokens,
    pauseMs,
    kept,
  ];
  return shorten(takeWhileFitting(parts, freeBytes - sizeOf(shorten([]))));
}

/** Divides the prompt parts of a crash, which peers collect by its endpoint's lifetime. */
function divideCrash(crash: CrashEntry, freeBytes: number): readonly CrashEntry[] {
  if (sizeOf(crash) < freeBytes) return [crash];
  const {lifetime} = crash;
  const partsBytes = freeBytes - sizeOf({lifetime, parts: []});
  const divided: CrashEntry[] = [];
  let rest = crash.parts;
  while (rest.length > 0) {
    const parts = takeWhileFitting(rest, partsBytes);
    const taken = parts.length === 0 ? rest.slice(0, 1) : parts;
    divided.push({lifetime, parts: taken});
    rest = rest.slice(taken.length);
  }
  return divided;
}

/** The first items, as many as fit into a number of bytes with their separators. */
function takeWhileFitting<T>(items: readonly T[], maxBytes: number): T[] {
  const taken: T[] = [];
  let bytes = 0;
  for (const item of items) {
    bytes += sizeOf(item) + 1;
    if (bytes >= maxBytes) break;
    taken.push(item);
  }
  return taken;
}

function sizeOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
