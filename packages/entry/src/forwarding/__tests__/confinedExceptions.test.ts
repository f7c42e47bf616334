import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {emptyUpdate, encodeUpdate, Placement} from '@marigoldfold/coordination';
import {afterEach, beforeEach, describe, expect, test, vi} from 'vitest';
import {AttemptRace} from '../attemptRace.js';
import {respondOk, startRouter} from '../__fixtures__/endpointScripts.js';
import {createRoutingConfiguration, ForwardRig, waitUntil} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  vi.restoreAllMocks();
  await rig.stop();
});

function defects(): readonly unknown[] {
  return rig.logEntries.filter(({message}) => message === 'unexpected exception');
}

// Guards against the end of the process, or of the copy of the store, by an exception that no code expects.
describe('an unexpected exception', () => {
  test('in the reading of one record leaves the others in force', async () => {
    await startRouter(rig, respondOk, {}, ['e1']);
    await rig.put('endpoints/e0', '{');
    await rig.addEndpoint('e2', respondOk);
    await rig.remove('endpoints/e1');
    await rig.advance(2000);
    expect(defects()).toMatchObject([{place: 'record'}]);
    expect(await rig.sendRequest()).toMatchObject({status: 200, body: 'well'});
    await rig.configure(createRoutingConfiguration({version: 2, routes: []}));
    await rig.advance(2000);
    expect((await rig.sendRequest()).status).toBe(404);
  });

  test.each(['list', 'watch', 'get', 'grantLease'] as const)(
    'in the call %s to the store is followed by another call',
    async (call) => {
      const spy = vi.spyOn(rig.switchableStore, call).mockImplementationOnce(() => {
        throw new Error('defect');
      });
      await startRouter(rig, respondOk);
      await rig.advance(4000);
      expect(spy.mock.calls.length).toBeGreaterThan(1);
      expect(defects()).toMatchObject([{place: 'store_call'}]);
      expect(await rig.sendRequest()).toMatchObject({status: 200, body: 'well'});
    },
  );

  test('in a timer of a request ends the request', async () => {
    await startRouter(rig, () => undefined, {kind: 'nonIdempotent'});
    vi.spyOn(AttemptRace.prototype, 'abort').mockImplementationOnce(() => {
      throw new Error('defect');
    });
    const result = rig.sendRequest({'x-deadline': '500'}, {method: 'POST'});
    await delay(50);
    await rig.advance(800);
    expect((await result).status).toBe(504);
    expect(defects()).toMatchObject([{place: 'timer', request: 'id-1'}]);
  });

  test('in the handling of a message of another instance is confined to that', async () => {
    await rig.stop();
    const socket = createSocket('udp4').bind(0, '127.0.0.1');
    await once(socket, 'listening');
    const {port} = socket.address();
    socket.close();
    await once(socket, 'close');
    rig = new ForwardRig({peerAddress: `127.0.0.1:${port}`});
    await startRouter(rig, respondOk);
    vi.spyOn(Placement.prototype, 'applyPeerUpdate').mockImplementationOnce(() => {
      throw new Error('defect');
    });
    const sender = createSocket('udp4');
    for (const datagram of encodeUpdate(emptyUpdate('front-2'), () => undefined))
      sender.send(datagram, port, '127.0.0.1');
    await waitUntil(() => defects().length > 0);
    sender.close();
    expect(defects()).toMatchObject([{place: 'peer_update', from: 'front-2'}]);
    expect(await rig.sendRequest()).toMatchObject({status: 200, body: 'well'});
  });
});
