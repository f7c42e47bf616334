/** Ordinary requests whose prompts have a hundred parts end the processes of all fronts, one after the other. */
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
  Router,
  Runner,
  Store,
  answerHeaders,
  clientHeaders,
  configuration,
  runCase,
  send,
  waitUntilInTouch,
} from '../lib-2/harness.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
/** `TROUBLE=0` leaves out what breaks the rule. */
const hasTrouble = process.env.TROUBLE !== '0';
/** Fronts of cac-fees. */
const FRONTS = 4;
/** Parts of a prompt: those of a long session, or as few as on a quiet day. */
const PARTS = hasTrouble ? 100 : 3;
const TOKENS = 800;
const CHANNELS = 6;
/** The longest work of a charge on the site's sheet. */
const CHARGE_MS = 450;
const QUERIES = 60;
const QUERIES_AT_ONCE = 6;
/** Time between two attempts of a client, which makes one more at another front. */
const RETRY_MS = 100;

await runCase(FOLDER, async ({recorder, onEnd}) => {
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  store.put('op/config', configuration());
  const ledger = new Runner({
    id: 'i-ledger',
    service: 'ledger',
    store,
    recorder,
    async handle(request, response) {
      await delay(CHARGE_MS);
      response.writeHead(200, answerHeaders(request)).end('posted');
    },
  });
  const models = [1, 2, 3].map(
    (number) =>
      new Runner({
        id: `i-model-${number}`,
        service: 'model',
        store,
        recorder,
        async handle(request, response) {
          response.writeHead(200, answerHeaders(request, {'Content-Type': 'text/event-stream'}));
          await delay(50);
          for (let event = 1; event <= 5; event += 1) {
            response.write(`id: ${event}\ndata: ${event}\n\n`);
            await delay(20);
          }
          response.end();
        },
      }),
  );
  for (const runner of [ledger, ...models]) {
    await runner.start();
    onEnd(() => runner.stop());
  }
  const fronts = Array.from(
    {length: FRONTS},
    (_, number) => new Router({store, recorder, name: `front-${number + 1}`}),
  );
  for (const front of fronts) {
    onEnd(() => front.stop());
    await front.start();
  }
  // Meanwhile the fronts learn of one another from the store.
  await waitUntilInTouch();

  const agents = Array.from({length: CHANNELS}, () => new Agent({keepAlive: true, maxSockets: 1}));
  onEnd(() => agents.forEach((agent) => agent.destroy()));
  let isOver = false;
  let posted = 0;
  const lost = [];
  const post = async (agent, number) => {
    // They begin one after the other, so that most of them are at the ledger at any time.
    await delay((number * CHARGE_MS) / CHANNELS);
    while (!isOver) {
      const headers = clientHeaders({'X-Marigoldfold-Deadline': '4000'});
      const id = headers['X-Marigoldfold-Request-Id'];
      const options = {host: fronts[0].host, port: fronts[0].port, method: 'POST', path: '/post/1'};
      const answer = await send({...options, agent, headers, body: 'a charge'});
      if (answer.status !== undefined && answer.isComplete) {
        posted += 1;
        continue;
      }
      const hasRun = ledger.requests.some((request) => request.id === id);
      recorder.add(`charge ${id}: no answer (${answer.end}), run at the ledger: ${hasRun}`);
      if (hasRun) lost.push(id);
      return;
    }
  };
  const posting = agents.map(post);
  await delay(1000);

  // Queries of one session: the parts but the last are shared.
  let sent = 0;
  let served = 0;
  let unserved = 0;
  const query = async () => {
    while (sent < QUERIES) {
      sent += 1;
      const number = sent;
      const ids = Array.from({length: PARTS - 1}, (_, part) => (0x5c1e0000 + part).toString(16));
      ids.push((0x91bd0000 + number).toString(16));
      const prefix = ids.map((id) => `${id}:${Math.floor(TOKENS / PARTS)}`).join(',');
      let answer;
      for (let attempt = 0; attempt < 2 && answer?.isComplete !== true; attempt += 1) {
        if (attempt > 0) await delay(RETRY_MS);
        // The platform gives new channels to fronts that run.
        const front = fronts.find(({exit}) => exit === undefined);
        if (front === undefined) break;
        const headers = clientHeaders({
          'X-Marigoldfold-Model': 'm',
          'X-Marigoldfold-Token-Usage': `${TOKENS},80`,
          'X-Marigoldfold-Deadline': '15000',
          'X-Marigoldfold-Prompt-Prefix': prefix,
        });
        const {host, port} = front;
        const options = {host, port, method: 'POST', path: '/query/1', headers, body: 'a query'};
        answer = await send(options);
      }
      if (answer?.isComplete === true && answer.status === 200) served += 1;
      else unserved += 1;
    }
  };
  await Promise.all(Array.from({length: QUERIES_AT_ONCE}, query));
  await delay(1000);
  isOver = true;
  await Promise.all(posting);
  recorder.add(
    `${posted} charges were answered; queries served: ${served}, not served: ${unserved}`,
  );

  const ended = fronts.filter(({exit}) => exit !== undefined);
  for (const {name, lines} of ended) {
    const error = lines.find((line) => line.includes('RangeError'));
    recorder.add(`${name}: ${error}`);
  }
  recorder.add(`${ended.length} of ${FRONTS} fronts ended by themselves, with no signal sent`);
  const broken = [];
  if (lost.length > 3)
    broken.push(
      `LOST: ${lost.length} charges that the sound runner ran ended with a closed channel and no answer`,
    );
  return broken;
});
