/** Starts the store, the runners and the router that the cases have in common. */
import {setTimeout as sleep} from 'node:timers/promises';
import {bounds, Client, Router} from './rig.mjs';
import {Runner} from './runner.mjs';
import {configuration} from './site.mjs';
import {Store} from './store.mjs';

/** Time from the start of the router, after which its machine is in touch. */
const CALM_MS = bounds.StableWindowMs + 500;

/** Starts `count` runners of a service behind one router; `work` is how they answer. */
export async function startStage(rig, {service, count, work}) {
  const {defer} = rig;
  const store = new Store();
  await store.listen();
  defer(() => store.close());
  const runners = [];
  for (let number = 1; number <= count; number += 1) {
    const runner = new Runner(rig, {id: `i-${service}-${number}`, service, store, work});
    await runner.listen();
    runner.register();
    runners.push(runner);
  }
  store.put('op/config', configuration());
  const router = await Router.start(rig, {storeAddress: store.address});
  await sleep(CALM_MS);
  return {store, runners, router, client: new Client(rig)};
}
