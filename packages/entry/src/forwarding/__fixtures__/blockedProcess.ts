/** Clients that connect and disconnect while the event loop of this process is blocked. */
import {Worker} from 'node:worker_threads';

const clientScript = `
const {connect} = require('node:net');
const {workerData: {port, requests, done}} = require('node:worker_threads');
for (const request of requests) {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.resume();
  socket.on('finish', () => {
    Atomics.add(done, 0, 1);
    Atomics.notify(done, 0);
  });
  socket.end(request);
}
`;

/** Blocks the event loop until clients in a worker thread have sent their requests and closed. */
export function blockUntilClientsClose(port: number, requests: readonly string[]): Worker {
  const done = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  const worker = new Worker(clientScript, {eval: true, workerData: {port, requests, done}});
  for (let count = 0; count < requests.length; count = Atomics.load(done, 0)) {
    Atomics.wait(done, 0, count);
  }
  return worker;
}
