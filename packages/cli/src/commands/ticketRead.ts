/** `marigoldfold ticket list` and `marigoldfold ticket show`. */
import type {Status} from '@marigoldfold/entry';
import {Args, Flags} from '@oclif/core';
import {OperatorCommand, operatorFlags} from '../operatorFlags.js';
import {formatTable} from '../table.js';

/** Lists tickets whose numbers are above a given one, with the monitor's verdicts. */
export class TicketList extends OperatorCommand {
  static override readonly description = 'Lists tickets with their authors and decisions.';
  static override readonly examples = ['marigoldfold ticket list --after 100'];
  static override readonly flags = {
    ...operatorFlags,
    after: Flags.integer({description: 'only tickets above this number', default: 0, min: 0}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(TicketList);
    using client = this.connect(flags);
    const {tickets, decisions} = this.unwrapOrExit(await client.readRecord(flags.after));
    const verdicts = new Map(decisions.map(({number, verdict}) => [number, verdict]));
    if (flags.json) {
      this.log(
        JSON.stringify(
          tickets.map((ticket) => ({...ticket, verdict: verdicts.get(ticket.number)})),
        ),
      );
      return;
    }
    const rows = tickets.map(({number, author, reason, changes, proposedAtMs}) => [
      number,
      verdicts.get(number) ?? 'undecided',
      author,
      new Date(proposedAtMs).toISOString(),
      changes.map(({kind, name}) => `${kind}/${name}`).join(' '),
      reason,
    ]);
    this.log(formatTable(['NUMBER', 'VERDICT', 'AUTHOR', 'PROPOSED', 'TOUCHES', 'REASON'], rows));
  }
}

/** Shows one ticket with its decision and the instances where it is in force. */
export class TicketShow extends OperatorCommand {
  static override readonly description =
    'Shows a ticket: its author, changes and decision, and the instances where it is in force.';
  static override readonly examples = ['marigoldfold ticket show 4'];
  static override readonly args = {
    number: Args.integer({description: 'number of the ticket', required: true, min: 1}),
  };
  static override readonly flags = operatorFlags;

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(TicketShow);
    using client = this.connect(flags);
    const {tickets, decisions} = this.unwrapOrExit(await client.readRecord(args.number - 1));
    const ticket = tickets.find(({number}) => number === args.number);
    if (ticket === undefined) this.error(`there is no ticket ${args.number}`, {exit: 1});
    const decision = decisions.find(({number}) => number === args.number);
    const status = await client.status(args.number);
    const inForce = status.isOk() ? summarizeInForce(args.number, status.value) : undefined;
    const details = {ticket, decision: decision ?? null, inForce: inForce ?? null};
    if (flags.json) {
      this.log(JSON.stringify(details));
      return;
    }
    this.log(
      `ticket ${ticket.number}, proposed by ${ticket.author} at ${formatTime(ticket.proposedAtMs)}`,
    );
    this.log(`reason: ${ticket.reason}`);
    if (decision === undefined) this.log('not decided');
    else {
      const {verdict, decidedAtMs, note, stateDigest} = decision;
      this.log(
        `${verdict} by the monitor at ${formatTime(decidedAtMs)}, state digest ${stateDigest}`,
      );
      if (note !== '') this.log(`note: ${note}`);
    }
    if (decision !== undefined) this.log(formatInForce(inForce));
    this.log(JSON.stringify(ticket.changes, undefined, 2));
  }
}

interface InForceStatus {
  readonly since: readonly {readonly instance: string; readonly atMs: number | undefined}[];
  /** Names of the instances that have an older ticket in force or did not respond. */
  readonly missing: readonly string[];
}

function summarizeInForce(number: number, {instances}: Status): InForceStatus {
  const upToDate = instances.filter((line) => (line.number ?? -1) >= number);
  const missing = instances.filter((line) => (line.number ?? -1) < number);
  return {
    since: upToDate.map(({name, inForceAtMs}) => ({instance: name, atMs: inForceAtMs})),
    missing: missing.map(({name}) => name),
  };
}

function formatInForce(inForce: InForceStatus | undefined): string {
  if (inForce === undefined)
    return 'not known where it is in force: the entry did not return a status';
  const rows = inForce.since.map(({instance, atMs}) => [
    instance,
    atMs === undefined ? 'before the instance started' : formatTime(atMs),
  ]);
  const missing = inForce.missing.length === 0 ? 'nowhere' : inForce.missing.join(' ');
  return [formatTable(['INSTANCE', 'IN FORCE SINCE'], rows), `not in force at: ${missing}`].join(
    '\n',
  );
}

function formatTime(milliseconds: number): string {
  return new Date(milliseconds).toISOString();
}
