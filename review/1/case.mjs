/** LOST: sound streams that fall silent for 1.6 s are cut around a SIGHUP. */
import {hasTrouble, runCase} from '../lib/rig.mjs';
import {streamEvents} from '../lib/runner.mjs';
import {promptHeaders} from '../lib/site.mjs';
import {startStage} from '../lib/stage.mjs';

const STREAMS = 6;
const EVENTS = 20;
const EVENT_GAP_MS = 50;
/** Gap after which clients leave: the longest of 2 s, 4 x 250 ms and 8 x 120 ms. */
const PATIENCE_MS = 2000;
/** Silence of a run that is preempted once in the middle of its stream and read in again. */
const SILENCE_MS = 1600;
const EVENTS_BEFORE_SILENCE = 5;

await runCase(import.meta.url, async (rig) => {
  const work = streamEvents({
    count: EVENTS,
    gapMs: EVENT_GAP_MS,
    pauseMs: ({number, from}) =>
      hasTrouble && number === from + EVENTS_BEFORE_SILENCE ? SILENCE_MS : 0,
  });
  const {router, client} = await startStage(rig, {service: 'model', count: 2, work});
  router.signal('SIGHUP');
  const outcomes = await Promise.all(
    Array.from({length: STREAMS}, () =>
      client.send(router, {
        method: 'POST',
        path: '/query/1',
        headers: promptHeaders(),
        body: 'prompt',
        deadlineMs: 15000,
        patienceMs: PATIENCE_MS,
      }),
    ),
  );
  const cut = outcomes.filter(({end}) => end === 'channel ended early');
  return {
    isBroken: cut.length > 0,
    summary: `${cut.length} of ${STREAMS} streams were cut by the router`,
  };
});
