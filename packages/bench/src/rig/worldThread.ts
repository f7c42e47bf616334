/** The thread of a world. */
import {parentPort} from 'node:worker_threads';
import type {WorldAnswer, WorldCommands, WorldRequest} from './remoteWorld.js';
import {runStreamLoad} from './streamLoad.js';
import {World} from './world.js';

const world = new World();

const commands: WorldCommands = {
  start: (options) => world.start(options),
  startEntry: () => world.startEntry(),
  list: (address, endpoints) => {
    world.list(address, endpoints);
  },
  commitTicket: () => world.commitTicket(),
  connectPeers: (address, count) => world.connectPeers(address, count),
  probe: (count) => world.probe(count),
  load: (load) => runStreamLoad(load),
};

parentPort?.on('message', ({id, command, params}: WorldRequest) => {
  const run: (...params: never[]) => unknown = commands[command];
  const answer = async (): Promise<WorldAnswer> => {
    try {
      return {id, result: await run(...(params as never[]))};
    } catch (error) {
      return {id, error: error instanceof Error ? (error.stack ?? error.message) : String(error)};
    }
  };
  void answer().then((message) => parentPort?.postMessage(message));
});
