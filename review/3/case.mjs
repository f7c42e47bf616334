/** DRAIN: while the store cuts watches now and then, the router goes on sending to a runner whose entry is gone. */
import {setTimeout as sleep} from 'node:timers/promises';
import {bounds, hasTrouble, runCase} from '../lib/rig.mjs';
import {answerAfter} from '../lib/runner.mjs';
import {key} from '../lib/site.mjs';
import {startStage} from '../lib/stage.mjs';

const WORK_MS = 80;
const CLIENTS = 6;
const PAUSE_MS = 40;
/** Time between two cuts of the watches that wait. */
const CUT_EVERY_MS = 1500;
/** Time from the first cut to the removal of the entry. */
const CUTS_BEFORE_MS = 3500;
/** Time from the removal of its entry until the runner exits. */
const EXIT_AFTER_MS = 6000;

await runCase(import.meta.url, async (rig) => {
  const {record} = rig;
  const options = {service: 'ledger', count: 3, work: answerAfter(WORK_MS)};
  const {store, router, runners, client} = await startStage(rig, options);
  let isOver = false;
  const cutWatches = async () => {
    while (hasTrouble && !isOver) {
      await sleep(CUT_EVERY_MS);
      record.add('store', `cuts ${store.cutWatches()} watches that wait`);
    }
  };
  const outcomes = [];
  const sendPosts = async () => {
    while (!isOver) {
      const post = {method: 'POST', path: '/post/1', body: 'fee', deadlineMs: 4000};
      outcomes.push(await client.send(router, {...post, headers: {'api-key': key}}));
      await sleep(PAUSE_MS);
    }
  };
  const tasks = [cutWatches(), ...Array.from({length: CLIENTS}, sendPosts)];
  await sleep(CUTS_BEFORE_MS);
  const [leaving] = runners;
  store.remove(leaving.key);
  const goneAtMs = record.nowMs;
  record.add(leaving.id, 'leaves: its entry is removed');
  await sleep(EXIT_AFTER_MS);
  record.add(leaving.id, 'exits');
  leaving.close();
  await sleep(1000);
  isOver = true;
  await Promise.all(tasks);
  const late = leaving.arrivals.filter(({atMs}) => atMs > goneAtMs + bounds.DrainMs);
  const lost = outcomes.filter(({isComplete, status}) => !isComplete || status === 502);
  return {
    isBroken: late.length > 0,
    summary: `${late.length} requests reached the runner later than ${bounds.DrainMs} ms after its entry was removed; ${lost.length} of ${outcomes.length} requests had run and were lost as it exited`,
  };
});
