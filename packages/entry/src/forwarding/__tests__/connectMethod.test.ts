import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {respondOk, startRouter} from '../__fixtures__/endpointScripts.js';
import {ForwardRig} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(() => rig.stop());

// Guards against a connection that Node.js closes without a response, since nothing handles the method.
test('CONNECT gets 501', async () => {
  await startRouter(rig, respondOk);
  const received = await new Promise<string>((resolve) => {
    const socket = connect(rig.process.clientPort, '127.0.0.1');
    let text = '';
    socket.on('data', (data) => (text += data.toString()));
    socket.on('close', () => {
      resolve(text);
    });
    socket.end('CONNECT a.example:80 HTTP/1.1\r\nhost: a.example\r\n\r\n');
  });
  expect(received).toMatch(/^HTTP\/1\.1 501 Not Implemented\r\nconnection: close\r\n/);
});
