/** A client sends requests with heads of many lines, within the limits of the configuration. */
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {configuration, Router, runCase, Store} from '../lib-3/harness.mjs';

/** `TROUBLE=0` plays the case without its disruption. */
const isTroubled = process.env.TROUBLE !== '0';
const HOST = 'a.example';
const API_KEY = 'xd9dnn2ctnfzs989anu6';
const MAX_HEADER_BYTES = 16_384;
/** Lines of each head beside those of the protocol. */
const LINES = isTroubled ? 1100 : 900;
const REQUESTS = 20;
const DEADLINE_MS = 5000;

await runCase(fileURLToPath(new URL('.', import.meta.url)), isTroubled, async ({record, onEnd}) => {
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  store.put(
    'op/config',
    configuration({
      routes: [
        {
          Name: 'r-1',
          Host: HOST,
          Prefix: '/r/',
          Kind: 'streaming',
          TimeoutMs: DEADLINE_MS,
          TargetLatencyMs: 500,
          TargetGapMs: 200,
          Priority: 1,
          Service: 's-1',
          MaxAttempts: 1,
          StickySessions: true,
          ResumeStreams: false,
        },
      ],
      services: [
        {
          Name: 's-1',
          HealthPath: '/healthz',
          MaxConns: 360,
          Engine: {Slots: 64, KvCapacity: 292_270, Stride: 4},
        },
      ],
      tenants: [{Name: 't-1', ApiKeys: [API_KEY]}],
    }),
  );
  /** What the client has sent and what the runner got, by request. */
  const sent = new Map();
  const received = new Map();
  const runner = createServer({maxHeaderSize: 65_536}, (request, response) => {
    const id = request.headers['x-marigoldfold-request-id'];
    received.set(id, request.headers);
    request.resume();
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-marigoldfold-request-id': id,
      'x-marigoldfold-server-signature': 'signed',
    });
    response.write('id: 1\ndata: a\n\n');
    response.end('id: 2\ndata: b\n\n');
  });
  runner.maxHeadersCount = 0;
  await new Promise((resolve) => {
    runner.listen(0, '127.0.0.1', resolve);
  });
  onEnd(() => {
    runner.closeAllConnections();
    runner.close();
  });
  store.put('servers/i-1', {
    Service: 's-1',
    Address: `127.0.0.1:${runner.address().port}`,
    Zone: 'z-1',
    Version: 1,
    Slots: 64,
    State: 'ready',
    ColdLeftMs: 0,
    Seq: 1,
    born: Date.now(),
  });
  const router = new Router('front-1', record);
  onEnd(() => router.kill());
  await router.start(store.address);
  for (let number = 1; number <= REQUESTS; number += 1) {
    const id = `q-${number}`;
    const headers = {
      'X-Marigoldfold-Model': 'm',
      'X-Marigoldfold-Token-Usage': `${1000 + number},80`,
      'X-Marigoldfold-Prompt-Prefix': `5c1e07a2:800,${number.toString(16)}b3f06:${200 + number}`,
    };
    sent.set(id, headers);
    const head = createHead(id, headers);
    if (head.length > MAX_HEADER_BYTES) throw new Error(`the head has ${head.length} bytes`);
    const status = await exchange(router, head);
    record.write(`client: ${id} has a head of ${head.length} bytes and gets ${status}`);
  }
  let changedCount = 0;
  for (const [id, headers] of received) {
    const wrong = Object.entries(sent.get(id))
      .filter(([name, value]) => headers[name.toLowerCase()] !== value)
      .map(([name]) => `${name}: ${headers[name.toLowerCase()] ?? '(none)'}`);
    if (wrong.length === 0) continue;
    changedCount += 1;
    record.write(`runner: runs ${id} with ${wrong.join(', ')}`);
  }
  record.write(`${received.size} requests have run, ${changedCount} with other headers`);
  if (received.size === 0) throw new Error('no request has run');
  if (changedCount === 0) return undefined;
  return `UNASKED, ${changedCount} of ${received.size} requests ran with other headers than the client's`;
});

/** The client's own lines stand before those that describe the prompt. */
function createHead(id, headers) {
  let text =
    `POST /r/x HTTP/1.1\r\nHost: ${HOST}\r\nX-Marigoldfold-Request-Id: ${id}\r\n` +
    `X-Marigoldfold-Deadline: ${DEADLINE_MS}\r\nApi-Key: ${API_KEY}\r\nContent-Length: 0\r\n`;
  for (let number = 1; number <= LINES; number += 1) text += `X-T-${number}: ${number}\r\n`;
  for (const [name, value] of Object.entries(headers)) text += `${name}: ${value}\r\n`;
  return `${text}\r\n`;
}

/** Sends a request on a new channel; resolves to the status of its answer, or to how the channel ended. */
function exchange(router, head) {
  return new Promise((resolve) => {
    const socket = connect(router.port, router.ip);
    let text = '';
    const finish = (outcome) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    const timer = setTimeout(() => {
      finish('no answer');
    }, DEADLINE_MS);
    socket.on('connect', () => socket.write(head));
    socket.on('data', (data) => {
      text += data.toString('latin1');
      if (text.endsWith('0\r\n\r\n') || /content-length/i.test(text)) finish(text.slice(9, 12));
    });
    socket.on('error', ({code}) => {
      finish(code);
    });
    socket.on('close', () => {
      finish('closed');
    });
  });
}
