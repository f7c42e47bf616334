/** One answer of a faulty runner with a damaged `Keep-Alive` header ends the router's process and all requests in it. */
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
  promptHeaders,
  runCase,
  send,
  waitUntilInTouch,
} from '../lib-2/harness.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
/** `TROUBLE=0` leaves out what breaks the rule. */
const hasTrouble = process.env.TROUBLE !== '0';
/** Answers of the faulty runner before the one that is spoiled: the share of the site's `garble` is 0.02. */
const MIN_ANSWERS = 50;
const CHANNELS = 6;
/** The longest work of a charge on the site's sheet. */
const CHARGE_MS = 450;
const FIRST_EVENT_MS = 40;
/** From 306 digits on, the milliseconds are beyond the largest number. */
const DAMAGED_TIMEOUT = '5'.repeat(400);

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
  let spoiled;
  let answersOfFaulty = 0;
  const handleQuery = (isFaulty) => async (request, response, body, entry) => {
    let timeout = '5';
    if (isFaulty) {
      answersOfFaulty += 1;
      if (answersOfFaulty > MIN_ANSWERS && spoiled === undefined) {
        spoiled = entry.id;
        if (hasTrouble) {
          timeout = DAMAGED_TIMEOUT;
          recorder.add(`runner i-faulty spoils its answer ${answersOfFaulty}, to ${entry.id}`);
        }
      }
    }
    const headers = {'Content-Type': 'text/event-stream', 'Keep-Alive': `timeout=${timeout}`};
    response.writeHead(200, answerHeaders(request, headers));
    response.flushHeaders();
    await delay(FIRST_EVENT_MS);
    response.end('id: 1\ndata: an event\n\n');
  };
  const model = {service: 'model', store, recorder};
  const sound = new Runner({...model, id: 'i-sound', handle: handleQuery(false)});
  const faulty = new Runner({...model, id: 'i-faulty', handle: handleQuery(true)});
  for (const runner of [sound, faulty, ledger]) {
    await runner.start();
    onEnd(() => runner.stop());
  }
  const router = new Router({store, recorder});
  onEnd(() => router.stop());
  await router.start();
  await waitUntilInTouch();

  const agents = Array.from(
    {length: 2 * CHANNELS},
    () => new Agent({keepAlive: true, maxSockets: 1}),
  );
  onEnd(() => agents.forEach((agent) => agent.destroy()));
  const ask = async (agent, path, headers) => {
    const options = {host: router.host, port: router.port, method: 'POST', path, agent, headers};
    return {
      id: headers['X-Marigoldfold-Request-Id'],
      ...(await send({...options, body: 'a body'})),
    };
  };

  // Charges and queries on kept channels, each channel with one request after another.
  let isOver = false;
  let answered = 0;
  const lost = [];
  const use = async (agent, number) => {
    // Charges begin one after the other, so that most of them are at the ledger at any time.
    if (number < CHANNELS) await delay((number * CHARGE_MS) / CHANNELS);
    while (!isOver) {
      const answer = await (number < CHANNELS
        ? ask(agent, '/post/1', clientHeaders({'X-Marigoldfold-Deadline': '4000'}))
        : ask(agent, '/query/1', promptHeaders()));
      if (answer.status !== undefined && answer.isComplete) {
        answered += 1;
        continue;
      }
      const hasRun = ledger.requests.some(({id}) => id === answer.id);
      recorder.add(`${answer.id}: no answer (${answer.end}), run at the ledger: ${hasRun}`);
      if (hasRun) lost.push(answer.id);
      return;
    }
  };
  const using = agents.map(use);
  for (let waitedMs = 0; spoiled === undefined && waitedMs < 30_000; waitedMs += 50)
    await delay(50);
  await delay(1500);
  isOver = true;
  await Promise.all(using);
  recorder.add(`${answered} requests were answered`);
  if (spoiled === undefined) throw new Error('the faulty runner did not get enough requests');

  await delay(200);
  const errors = router.lines.filter((line) => /Error|^ +at /.test(line)).slice(0, 6);
  for (const line of errors) recorder.add(`router: ${line}`);
  const broken = [];
  if (router.exit !== undefined)
    recorder.add('the process ended by itself, with no signal sent to it');
  if (lost.length > 3)
    broken.push(
      `LOST: ${lost.length} charges that the sound runner ran ended with a closed channel and no answer`,
    );
  return broken;
});
