import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {systemClock} from '@marigoldfold/runtime';
import {createEtcdKeyValue, type KeyValue} from '@marigoldfold/state';
import {createHttpClient, type HttpClient} from '@marigoldfold/transport';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {serveKeyValue} from '../keyValueServer.js';
import {MemoryKeyValue} from '../memoryKeyValue.js';

let server: Server;
let client: HttpClient;
let memory: MemoryKeyValue;
let etcd: KeyValue;

beforeEach(async () => {
  memory = new MemoryKeyValue(systemClock);
  const handle = serveKeyValue(memory);
  server = createServer((request, response) => void handle(request, response));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  client = createHttpClient();
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  etcd = createEtcdKeyValue({client, address, timeoutMs: 400});
});

afterEach(() => {
  client[Symbol.dispose]();
  server.closeAllConnections();
  server.close();
});

async function put(key: string): Promise<void> {
  (await etcd.write(key, 'x', {ifRevision: 0}))._unsafeUnwrap();
}

describe('an etcd cluster that is restored from a snapshot', () => {
  test('begins a new era, in which conditions of before do not hold', async () => {
    await put('a/1');
    const copy = memory.copy();
    await put('a/2');
    const before = (await etcd.get('a/2'))._unsafeUnwrap();
    memory.restore(copy);
    const {revision} = (await etcd.list('a/'))._unsafeUnwrap();
    expect(revision.era).toBe(before!.revision.era + 1);
    await put('a/2');
    const written = await etcd.write('a/2', 'y', {ifRevision: before!.revision});
    expect(written._unsafeUnwrapErr()).toMatchObject({code: 'restored', mayHaveTakenEffect: false});
  });

  test('ends a watch from a revision of before', async () => {
    await put('a/1');
    const copy = memory.copy();
    await put('a/2');
    const {revision} = (await etcd.list('a/'))._unsafeUnwrap();
    memory.restore(copy);
    (await etcd.list('a/'))._unsafeUnwrap();
    const watched = await etcd.watch('a/', {afterRevision: revision, timeoutMs: 50});
    expect(watched._unsafeUnwrapErr().code).toBe('restored');
  });

  test('ends the leases of before, also when their numbers are given out again', async () => {
    const copy = memory.copy();
    const lease = (await etcd.grantLease(10))._unsafeUnwrap();
    await put('a/1');
    memory.restore(copy);
    (await etcd.list('a/'))._unsafeUnwrap();
    (await memory.grantLease(10))._unsafeUnwrap();
    expect((await etcd.renewLease(lease))._unsafeUnwrap()).toBe(false);
  });
});
