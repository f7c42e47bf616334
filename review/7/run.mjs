/** One answer of a faulty runner with a damaged status line ends the router's process and all streams in it. */
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
/** Answers of the faulty runner of which at most one is spoiled: the share of the site's `garble` is 0.02. */
const MIN_ANSWERS = 50;
/** Time to the first event of a prompt that takes long; clients leave after 2,000 ms. */
const SLOW_FIRST_EVENT_MS = 1850;
const CHANNELS = 6;
/** The longest work of a charge on the site's sheet. */
const CHARGE_MS = 450;
const MAX_VICTIMS = 8;

await runCase(FOLDER, async ({recorder, onEnd}) => {
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  store.put('op/config', configuration());

  const sound = new Runner({id: 'i-sound', service: 'model', store, recorder, handle});
  const faulty = new Runner({id: 'i-faulty', service: 'model', store, recorder, handle});
  let answersOfFaulty = 0;
  let spoiled;

  async function handle(request, response, body, entry) {
    const isFaulty = faulty.requests.includes(entry);
    const isRepeated = [sound, faulty].every(({requests}) =>
      requests.some(({id}) => id === entry.id),
    );
    if (isFaulty) answersOfFaulty += 1;
    if (isFaulty && isRepeated && spoiled === undefined && answersOfFaulty >= MIN_ANSWERS) {
      spoiled = entry.id;
      if (hasTrouble) {
        recorder.add(`runner i-faulty spoils its answer ${answersOfFaulty}, to ${entry.id}`);
        request.socket.end(
          `HTTP/1.1 400 Bad\x01Request\r\nX-Marigoldfold-Request-Id: ${entry.id}\r\nContent-Length: 0\r\n\r\n`,
        );
        return;
      }
    }
    const {events, firstMs} = JSON.parse(body.toString());
    response.writeHead(200, answerHeaders(request, {'Content-Type': 'text/event-stream'}));
    response.flushHeaders();
    await delay(isRepeated ? 20 : firstMs);
    for (let number = 1; number <= events && !response.destroyed; number += 1) {
      response.write(`id: ${number}\ndata: ${entry.id} ${number}\n\n`);
      await delay(events > 1 ? 100 : 0);
    }
    response.end();
  }

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
  for (const runner of [sound, faulty, ledger]) {
    await runner.start();
    onEnd(() => runner.stop());
  }
  const router = new Router({store, recorder});
  onEnd(() => router.stop());
  await router.start();
  await waitUntilInTouch();

  const agents = Array.from(
    {length: CHANNELS + 2},
    () => new Agent({keepAlive: true, maxSockets: 1}),
  );
  onEnd(() => agents.forEach((agent) => agent.destroy()));
  const ask = async (agent, path, headers, body) => {
    const id = headers['X-Marigoldfold-Request-Id'];
    const options = {host: router.host, port: router.port, method: 'POST', path, agent};
    return {id, ...(await send({...options, headers, body: JSON.stringify(body)}))};
  };
  const query = (agent, body) => ask(agent, '/query/1', promptHeaders(), body);

  // Short queries on all channels, until the faulty runner has answered often enough.
  for (let round = 0; round < 100 && answersOfFaulty < MIN_ANSWERS; round += 1) {
    const answers = await Promise.all(
      agents.map((agent) => query(agent, {events: 1, firstMs: 40})),
    );
    if (!answers.every(({status, isComplete}) => status === 200 && isComplete))
      throw new Error('a short query failed');
  }
  recorder.add(`runner i-faulty has given ${answersOfFaulty} sound answers`);

  // Charges are posted on kept channels one after another; their only runner is sound.
  let isOver = false;
  const lost = [];
  let posted = 0;
  const post = async (agent, number) => {
    // They begin one after the other, so that most of them are at the ledger at any time.
    await delay((number * CHARGE_MS) / CHANNELS);
    while (!isOver) {
      const answer = await ask(
        agent,
        '/post/1',
        clientHeaders({'X-Marigoldfold-Deadline': '4000'}),
        {},
      );
      const hasRun = ledger.requests.some(({id}) => id === answer.id);
      if (answer.status === undefined || !answer.isComplete) {
        recorder.add(
          `charge ${answer.id}: no answer (${answer.end}), run at the sound runner: ${hasRun}`,
        );
        if (hasRun) lost.push(answer.id);
        return;
      }
      posted += 1;
    }
  };
  const posting = agents.slice(0, CHANNELS).map(post);
  await delay(1000);
  for (let victim = 0; victim < MAX_VICTIMS && spoiled === undefined; victim += 1) {
    const answer = await query(agents[CHANNELS], {events: 2, firstMs: SLOW_FIRST_EVENT_MS});
    recorder.add(`long prompt ${answer.id}: status ${answer.status}, end ${answer.end}`);
  }
  await delay(1000);
  isOver = true;
  await Promise.all(posting);
  recorder.add(`${posted} charges were answered`);
  if (spoiled === undefined) throw new Error('no second copy reached the faulty runner');

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
