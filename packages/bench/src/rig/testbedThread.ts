/** Entry point of the testbed thread: runs commands from the main thread. */
import {parentPort} from 'node:worker_threads';
import type {TestbedResponse, TestbedCommands, TestbedRequest} from './remoteTestbed.js';
import {runStreamLoad} from './streamLoad.js';
import {Testbed} from './testbed.js';

const testbed = new Testbed();

const commands: TestbedCommands = {
  start: (options) => testbed.start(options),
  startEntry: () => testbed.startEntry(),
  list: (address, endpoints) => {
    testbed.list(address, endpoints);
  },
  commitTicket: () => testbed.commitTicket(),
  connectPeers: (address, count) => testbed.connectPeers(address, count),
  probe: (count) => testbed.probe(count),
  load: (load) => runStreamLoad(load),
};

parentPort?.on('message', ({id, command, params}: TestbedRequest) => {
  const run: (...params: never[]) => unknown = commands[command];
  const respond = async (): Promise<TestbedResponse> => {
    try {
      return {id, result: await run(...(params as never[]))};
    } catch (error) {
      return {id, error: error instanceof Error ? (error.stack ?? error.message) : String(error)};
    }
  };
  void respond().then((message) => parentPort?.postMessage(message));
});
