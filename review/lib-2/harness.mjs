/** Stand-ins for the cases of the second review: the platform's store, runners, clients and the router's process. */
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createSocket} from 'node:dgram';
import {createServer, Agent, request as httpRequest} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {setTimeout, clearTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {Buffer} from 'node:buffer';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const MS_PER_SECOND = 1000;
/** `StableWindowMs` of the settings, and a little more: until then a machine that was started is not in touch. */
const UNTIL_IN_TOUCH_MS = 3500;

/** Waits until machines that have just been started are in touch. */
export async function waitUntilInTouch() {
  await delay(UNTIL_IN_TOUCH_MS);
}

/** Collects the lines of `record.txt` with the time since the start in milliseconds. */
export class Recorder {
  #lines = [];
  #startedAtMs = Date.now();

  add(line) {
    this.#lines.push(`${String(Date.now() - this.#startedAtMs).padStart(6)} ${line}`);
  }

  write(path) {
    writeFileSync(path, `${this.#lines.join('\n')}\n`);
  }
}

/** The platform's store, as PROTOCOL.md describes it. */
export class Store {
  #items = new Map();
  #events = [];
  #leases = new Map();
  #watchers = new Set();
  #revision = 100;
  #nextLease = 1000;
  #server = createServer((request, response) => {
    void this.#serve(request, response);
  });

  async start() {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    for (const {timer} of this.#leases.values()) clearTimeout(timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes as the operator or a runner does. */
  put(key, value) {
    this.#set(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#notify();
  }

  #set(Key, Value, Lease) {
    this.#revision += 1;
    const Created = this.#items.get(Key)?.Created ?? this.#revision;
    const item = {Key, Value, Revision: this.#revision, Created, Lease};
    this.#items.set(Key, item);
    this.#events.push(item);
  }

  #delete(Key) {
    if (!this.#items.delete(Key)) return;
    this.#revision += 1;
    this.#events.push({Key, Revision: this.#revision, Deleted: true});
  }

  #notify() {
    for (const check of [...this.#watchers]) check();
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, 'http://store');
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
    const [status, result] = await this.#respond(url, request.method, body);
    const text = JSON.stringify(result);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async #respond(url, method, body) {
    const query = url.searchParams;
    const StoreRevision = this.#revision;
    switch (url.pathname) {
      case '/v1/kv-key': {
        const item = this.#items.get(query.get('Key'));
        return item === undefined ? [404, {StoreRevision}] : [200, {...item, StoreRevision}];
      }
      case '/v1/kv-range': {
        const after = query.get('After') ?? '';
        const all = [...this.#items.values()]
          .filter(({Key}) => Key.startsWith(query.get('Prefix') ?? '') && Key > after)
          .sort((a, b) => (a.Key < b.Key ? -1 : 1));
        const MorePages = all.length > 500;
        return [200, {Items: all.slice(0, 500), MorePages, StoreRevision}];
      }
      case '/v1/kv-watch':
        return [200, await this.#watch(query)];
      case '/v1/kv-txn':
        return this.#commit(body);
      case '/v1/kv-lease': {
        this.#nextLease += 1;
        this.#keep(this.#nextLease, body.TtlMs);
        return [200, {Lease: this.#nextLease, TtlMs: body.TtlMs}];
      }
      default:
        return this.#changeLease(url.pathname, method);
    }
  }

  #watch(query) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    return new Promise((resolve) => {
      const find = () =>
        this.#events.filter(({Key, Revision}) => Revision > after && Key.startsWith(prefix));
      const finish = () => {
        clearTimeout(timer);
        this.#watchers.delete(check);
        resolve({events: find(), StoreRevision: this.#revision});
      };
      const check = () => {
        if (find().length > 0) finish();
      };
      const timer = setTimeout(finish, Number(query.get('WaitMs')));
      this.#watchers.add(check);
      check();
    });
  }

  #commit({ExpectRev = [], Writes = [], Remove = []}) {
    const holds = ExpectRev.every(
      ({Key, Revision}) => (this.#items.get(Key)?.Revision ?? 0) === Revision,
    );
    if (!holds) {
      const current = ExpectRev.map(({Key}) => this.#items.get(Key));
      return [412, {Items: current.filter((item) => item !== undefined)}];
    }
    for (const {Lease} of Writes) if (Lease !== 0 && !this.#leases.has(Lease)) return [404, {}];
    for (const {Key, Value, Lease} of Writes) this.#set(Key, Value, Lease);
    for (const key of Remove) this.#delete(key);
    this.#notify();
    return [200, {Revision: this.#revision}];
  }

  #keep(lease, ttlMs) {
    clearTimeout(this.#leases.get(lease)?.timer);
    const timer = setTimeout(() => {
      this.#endLease(lease);
    }, ttlMs);
    this.#leases.set(lease, {ttlMs, timer});
  }

  #endLease(lease) {
    clearTimeout(this.#leases.get(lease)?.timer);
    this.#leases.delete(lease);
    for (const {Key, Lease} of [...this.#items.values()]) if (Lease === lease) this.#delete(Key);
    this.#notify();
  }

  #changeLease(path, method) {
    const lease = Number(path.split('/').at(-1));
    const known = this.#leases.get(lease);
    if (known === undefined) return [404, {}];
    if (method === 'DELETE') {
      this.#endLease(lease);
      return [200, {}];
    }
    this.#keep(lease, known.ttlMs);
    return [200, {TtlMs: known.ttlMs}];
  }
}

/** A runner: a server whose requests are handled by a function, registered in the store. */
export class Runner {
  requests = [];

  /** `handle` gets the request, the response, the body, and the entry of the request in `requests`. */
  constructor({id, service, store, recorder, handle, slots = 64, zone = 'z-1'}) {
    Object.assign(this, {id, service, store, recorder, slots, zone});
    this.handle = handle;
    this.born = Date.now();
    this.server = createServer({keepAliveTimeout: 20_000}, (request, response) => {
      void this.#serve(request, response);
    });
  }

  async start() {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.store.put(`servers/${this.id}`, {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Slots: this.slots,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 1,
      born: this.born,
    });
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  async #serve(request, response) {
    const chunks = [];
    const entry = {
      id: request.headers['x-marigoldfold-request-id'],
      headers: request.headers,
      target: request.url,
      atMs: Date.now(),
    };
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const expected = request.headers['x-marigoldfold-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'x-marigoldfold-instance-id': this.id}).end();
      return;
    }
    const body = Buffer.concat(chunks);
    this.requests.push(entry);
    this.recorder.add(`runner ${this.id} got ${entry.id} ${request.method} ${request.url}`);
    await this.handle(request, response, body, entry);
  }
}

/** The headers of a runner's own answer to a request. */
export function answerHeaders(request, extra = {}) {
  return {
    'X-Marigoldfold-Request-Id': request.headers['x-marigoldfold-request-id'],
    'X-Marigoldfold-Server-Signature': '3e1b.07.5a2.600.0.c9f2a4d1',
    ...extra,
  };
}

/** A configuration like that of a small deployment. */
export function configuration(changes = {}) {
  return {
    Version: 7,
    Routes: [
      {
        Name: 'r-query',
        Host: 'a.example',
        Prefix: '/query/',
        Kind: 'streaming',
        TimeoutMs: 15_000,
        TargetLatencyMs: 250,
        Priority: 0,
        Service: 'model',
        MaxAttempts: 2,
        AllowAnonymous: false,
        StickySessions: true,
        ResumeStreams: true,
        TargetGapMs: 120,
      },
      {
        Name: 'r-draft',
        Host: 'a.example',
        Prefix: '/draft/',
        Kind: 'streaming',
        TimeoutMs: 5000,
        TargetLatencyMs: 500,
        Priority: 1,
        Service: 'model',
        MaxAttempts: 1,
        AllowAnonymous: false,
        StickySessions: true,
        ResumeStreams: false,
        TargetGapMs: 200,
      },
      {
        Name: 'r-post',
        Host: 'a.example',
        Prefix: '/post/',
        Kind: 'non_idempotent',
        TimeoutMs: 4000,
        TargetLatencyMs: 300,
        Priority: 2,
        Service: 'ledger',
        MaxAttempts: 1,
        AllowAnonymous: false,
        StickySessions: false,
        ResumeStreams: false,
      },
      {
        Name: 'r-read',
        Host: 'a.example',
        Prefix: '/read/',
        Kind: 'idempotent',
        TimeoutMs: 4000,
        TargetLatencyMs: 300,
        Priority: 2,
        Service: 'ledger',
        MaxAttempts: 2,
        AllowAnonymous: false,
        StickySessions: false,
        ResumeStreams: false,
      },
    ],
    Services: [
      {
        Name: 'model',
        HealthPath: '/healthz',
        MaxConns: 360,
        Protocol: 'h1',
        Tls: false,
        Engine: {
          Slots: 64,
          KvCapacity: 292_270,
          KvBytes: 163_840,
          LinkMbps: 280_000,
          Moves: true,
          Backups: true,
          Stride: 4,
          most: 12,
          PinMs: 4000,
          HoldMs: 2000,
          HandleS: 5,
          Models: [{Name: 'm'}],
        },
      },
      {Name: 'ledger', HealthPath: '/healthz', MaxConns: 96, Protocol: 'h1', Tls: false},
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 'tenant-1', ApiKeys: ['key-1'], Priority: 1}],
    ...changes,
  };
}

/** The router's process, started with the command of the deploy file. */
export class Router {
  lines = [];

  constructor({store, recorder, name = 'front-1', settings = {}}) {
    Object.assign(this, {store, recorder, name, settings});
    this.ip = `127.${randomInt(1, 250)}.${randomInt(250)}.${randomInt(1, 250)}`;
    this.folder = mkdtempSync(join(tmpdir(), 'review-2-'));
    this.path = join(this.folder, 'settings.json');
  }

  get host() {
    return this.ip;
  }

  writeSettings() {
    const listen = {Front: `${this.ip}:${this.port}`, Ready: `${this.ip}:${this.readyPort}`};
    const document = {
      NodeName: this.name,
      Role: 'front',
      MachineClass: 'front',
      Serves: ['front'],
      Ip: this.ip,
      Zone: 'z-1',
      Region: 'region',
      Zones: {'z-1': 'region'},
      Listen: listen,
      PortRange: [this.peerPort, this.peerPort],
      Seeds: [],
      Bootstrap: true,
      Limits: {CpuShare: 0.513, Cores: 1, MemoryMb: 200, MaxFds: 4200, LinkMbps: 1000, DiskMb: 0},
      DataDir: null,
      Discovery: 'platform',
      Entry: 'virtual_ip',
      BeatIntervalMs: 1200,
      Bounds: {
        SeedLagS: 3,
        AddrReuseS: 2,
        StableWindowMs: 3000,
        AckMs: 4000,
        CatchUpS: 4,
        DrainMs: 2000,
        GraceS: 8,
        LossSlackMs: 200,
        ConfigApplyMs: 2000,
        DowngradeSlackMs: 250,
        MaxStretchMs: 5000,
        StrictRevoke: true,
        RevokeMs: 5000,
        RetryBudgetRatio: 0.2,
        BudgetWindowS: 10,
        RetrySlack: 52,
        RecoveryS: 12,
        PassMs: 120,
        ReuseWindowS: 7.5,
      },
      Platform: {
        Address: this.store.address,
        form: 'kv',
        WritesPerS: 400,
        ReadsPerS: 2000,
        HistoryS: 20,
        ValueBytes: 1_048_576,
        MinTtlMs: 1000,
      },
      ...this.settings,
    };
    writeFileSync(this.path, JSON.stringify(document));
  }

  /** Starts the process; resolves once it is ready. */
  async start() {
    [this.port, this.readyPort] = [await findTcpPort(this.ip), await findTcpPort(this.ip)];
    this.peerPort = await findUdpPort(this.ip);
    this.writeSettings();
    const {run} = readDeployFile();
    const [program, ...words] = run.split(' ');
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, HOME: process.env.HOME, MARIGOLDFOLD_SETTINGS: this.path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exit = undefined;
    this.child.once('exit', (code, signal) => {
      this.exit = {code, signal, atMs: Date.now()};
      this.recorder.add(`router ${this.name} ended: code ${code}, signal ${signal}`);
    });
    const keep = (data) => {
      for (const line of data.toString().split('\n')) if (line !== '') this.lines.push(line);
    };
    this.child.stdout.on('data', keep);
    this.child.stderr.on('data', keep);
    for (let tries = 0; tries < 200; tries += 1) {
      if ((await this.ready()) === 200) return;
      if (this.exit !== undefined) break;
      await delay(50);
    }
    throw new Error(`the router did not get ready: ${this.lines.slice(-5).join('\n')}`);
  }

  async ready() {
    const answer = await send({
      host: this.ip,
      port: this.readyPort,
      path: '/v1/readyz',
      timeoutMs: 1000,
    });
    return answer.status;
  }

  kill(signal) {
    if (this.exit === undefined) this.child.kill(signal);
  }

  async stop() {
    if (this.child !== undefined && this.exit === undefined) {
      const ended = once(this.child, 'exit');
      this.child.kill('SIGCONT');
      this.child.kill('SIGKILL');
      await ended;
    }
    rmSync(this.folder, {recursive: true, force: true});
  }
}

async function findTcpPort(host) {
  const server = createTcpServer().listen(0, host);
  await once(server, 'listening');
  const {port} = server.address();
  server.close();
  await once(server, 'close');
  return port;
}

async function findUdpPort(host) {
  const socket = createSocket('udp4').bind(0, host);
  await once(socket, 'listening');
  const {port} = socket.address();
  socket.close();
  await once(socket, 'close');
  return port;
}

function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (run === undefined) throw new Error('the deploy file has no run command');
  if (!existsSync(join(ROOT, 'target/front.mjs')))
    throw new Error('the build of the deploy file is missing');
  return {run};
}

/** Sends one request; resolves to the status, headers, body and end of its answer. Never rejects. */
export function send({
  host,
  port,
  method = 'GET',
  path,
  headers = {},
  body,
  timeoutMs = 20_000,
  agent = new Agent({keepAlive: false}),
}) {
  const startedAtMs = Date.now();
  return new Promise((resolve) => {
    const chunks = [];
    let answer;
    const finish = (end) => {
      clearTimeout(timer);
      resolve({
        status: answer?.statusCode,
        headers: answer?.headers ?? {},
        body: Buffer.concat(chunks).toString(),
        isComplete: answer?.complete === true && end === 'whole',
        end,
        tookMs: Date.now() - startedAtMs,
      });
    };
    const outgoing = httpRequest({host, port, method, path, headers, agent}, (response) => {
      answer = response;
      response.on('data', (chunk) => {
        chunks.push(chunk);
      });
      response.on('end', () => finish(response.complete ? 'whole' : 'cut'));
      response.on('error', (error) => finish(`cut: ${error.message}`));
      response.on('close', () => finish('cut'));
    });
    const timer = setTimeout(() => {
      outgoing.destroy(new Error('time limit'));
    }, timeoutMs);
    outgoing.on('error', (error) => finish(`error: ${error.code ?? error.message}`));
    outgoing.end(body);
  });
}

let nextRequest = 0;

/** Headers of a client's request. */
export function clientHeaders(extra = {}) {
  nextRequest += 1;
  return {
    Host: 'a.example',
    'X-Marigoldfold-Request-Id': `c${process.pid.toString(16)}${String(nextRequest).padStart(6, '0')}`,
    'Api-Key': 'key-1',
    ...extra,
  };
}

/** Headers of a client's request for a model. */
export function promptHeaders(extra = {}) {
  const headers = clientHeaders({
    'X-Marigoldfold-Model': 'm',
    'X-Marigoldfold-Token-Usage': '700,80',
    'X-Marigoldfold-Deadline': '15000',
    ...extra,
  });
  const own = headers['X-Marigoldfold-Request-Id'].slice(-8);
  return {...headers, 'X-Marigoldfold-Prompt-Prefix': `5c1e07a2:400,${own}:300`};
}

/**
 * Runs a case: `play` resolves to the list of broken promises. Exits with 1 if there are any, 0 if there are none and 2 if
 * the case could not run, also by a fault of a stand-in. In each case, what was started is ended before.
 */
export async function runCase(folder, play) {
  const recorder = new Recorder();
  const stops = [];
  let isEnding = false;
  const finish = async (code) => {
    if (isEnding) return;
    isEnding = true;
    for (const stop of stops.reverse()) {
      try {
        await stop();
      } catch (error) {
        recorder.add(`not stopped: ${error.stack}`);
        code = 2;
      }
    }
    recorder.write(join(folder, 'record.txt'));
    process.exit(code);
  };
  const giveUp = (reason) => {
    recorder.add(`could not run: ${reason}`);
    void finish(2);
  };
  process.on('uncaughtException', (error) => giveUp(error.stack));
  process.on('unhandledRejection', (error) => giveUp(error?.stack ?? error));
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => giveUp(signal));
  setTimeout(() => giveUp('it took too long'), 110 * MS_PER_SECOND).unref();
  try {
    const broken = await play({recorder, onEnd: (stop) => stops.push(stop)});
    for (const line of broken) recorder.add(`BROKEN ${line}`);
    recorder.add(broken.length > 0 ? 'verdict: the rule was broken' : 'verdict: the rule held');
    await finish(broken.length > 0 ? 1 : 0);
  } catch (error) {
    giveUp(error.stack);
  }
}
