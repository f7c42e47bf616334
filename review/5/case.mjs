/** DRAIN: a late write brings the entry of a leaving runner back, and the router forgets that the runner is leaving. */
import {setTimeout as sleep} from 'node:timers/promises';
import {bounds, hasTrouble, runCase} from '../lib/rig.mjs';
import {answerAfter} from '../lib/runner.mjs';
import {key} from '../lib/site.mjs';
import {startStage} from '../lib/stage.mjs';

const WORK_MS = 80;
const CLIENTS = 6;
const PAUSE_MS = 40;
/** Time from the first answer with Server-Leaving to the removal of the runner's entry. */
const REMOVED_AFTER_MS = 400;
/** Time after which the runner's unanswered call is executed; `platform_lost` of the kinds names 1 to 6 s. */
const LATE_WRITE_MS = 3000;
/** Three ping intervals of 1,200 ms, after which the entry of a runner that is silent is removed. */
const ENTRY_EXPIRY_MS = 3600;

await runCase(import.meta.url, async (rig) => {
  const {record} = rig;
  const options = {service: 'ledger', count: 3, work: answerAfter(WORK_MS)};
  const {store, router, runners, client} = await startStage(rig, options);
  const outcomes = [];
  let isOver = false;
  const sendPosts = async () => {
    while (!isOver) {
      const post = {method: 'POST', path: '/post/1', body: 'fee', deadlineMs: 4000};
      outcomes.push(await client.send(router, {...post, headers: {'api-key': key}}));
      await sleep(PAUSE_MS);
    }
  };
  const clients = Array.from({length: CLIENTS}, sendPosts);
  await sleep(1000);
  const [leaving] = runners;
  leaving.notices = {'server-leaving': '1'};
  record.add(leaving.id, 'leaves: Server-Leaving in all answers');
  await sleep(REMOVED_AFTER_MS);
  store.remove(leaving.key);
  record.add(leaving.id, 'its entry is removed');
  await sleep(LATE_WRITE_MS);
  if (hasTrouble) {
    record.add('store', 'executes a call of the runner that had got no answer');
    leaving.register();
  }
  await sleep(ENTRY_EXPIRY_MS);
  store.remove(leaving.key);
  isOver = true;
  await Promise.all(clients);
  const told = outcomes.find(({headers}) => headers['server-leaving'] === '1');
  if (told === undefined) throw new Error('no answer with Server-Leaving was passed on');
  const sentAtMs = new Map(outcomes.map((outcome) => [outcome.id, outcome.sentAtMs]));
  const late = leaving.arrivals.filter(
    ({id}) => sentAtMs.get(id) > told.endedAtMs + bounds.DrainMs,
  );
  return {
    isBroken: late.length > 0,
    summary: `${late.length} requests that were sent later than ${bounds.DrainMs} ms after the router had passed on Server-Leaving reached the runner`,
  };
});
