/** Stand-ins of the platform for the scripts of the third review: store, routers as processes, and a record. */
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Buffer} from 'node:buffer';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** The command of the deploy file's role. */
const ROLE_COMMAND = ['--max-semi-space-size=2', 'target/front.mjs'];
/** Items of a page of a range. */
const PAGE_ITEMS = 500;
const MS_PER_MINUTE = 60_000;
/** The longest run of a script. */
const MAX_RUN_MS = 110_000;

/** Exit codes of a case's program; `run.sh` turns them into 0 and 1, and any other, as of a program that fails, into 2. */
const HELD = 0;
const BROKEN = 10;
const COULD_NOT_RUN = 2;

/** Processes and folders that are left; they go with this program, however it ends. */
const children = new Set();
const folders = new Set();
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
  for (const folder of folders) rmSync(folder, {recursive: true, force: true});
});
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
  process.on(signal, () => {
    process.exit(COULD_NOT_RUN);
  });

/** The record of a run, with times in milliseconds since its start. */
export class RunRecord {
  #path;
  #startedAt = performance.now();

  constructor(folder, isTroubled) {
    this.#path = join(folder, 'record.txt');
    writeFileSync(this.#path, `trouble: ${isTroubled ? 'yes' : 'no'}\n`);
  }

  get nowMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  write(text) {
    appendFileSync(this.#path, `${String(this.nowMs).padStart(6)} ${text}\n`);
  }
}

/** A port that is free at an address now. */
export async function freePort(host) {
  const server = createTcpServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const {port} = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** The platform's metadata store, as PROTOCOL.md describes it. */
export class Store {
  #items = new Map();
  #leases = new Map();
  #events = [];
  #revision = 1;
  #nextLease = 1;
  #waiting = new Set();
  #server;
  address = '';

  async start() {
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server.keepAliveTimeout = MS_PER_MINUTE;
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
    for (const {timer} of this.#leases.values()) clearTimeout(timer);
  }

  /** Writes a record as the operator or a runner does; returns the revision. */
  put(key, value, lease = 0) {
    const bytes = Buffer.from(typeof value === 'string' ? value : JSON.stringify(value));
    return this.#commit([{Key: key, Value: bytes.toString('base64'), Lease: lease}], []);
  }

  /** Removes a record as a runner that leaves does. */
  remove(key) {
    return this.#commit([], [key]);
  }

  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  #commit(writes, removed) {
    this.#revision += 1;
    const Revision = this.#revision;
    for (const {Key, Value, Lease} of writes) {
      const Created = this.#items.get(Key)?.Created ?? Revision;
      const item = {Key, Value, Revision, Created, Lease: Lease ?? 0};
      this.#items.set(Key, item);
      this.#events.push(item);
    }
    for (const Key of removed) {
      if (this.#items.delete(Key)) this.#events.push({Key, Revision, Deleted: true});
    }
    for (const wake of [...this.#waiting]) wake();
    return Revision;
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
    const url = new URL(request.url, 'http://store');
    const [status, result] = await this.#respond(request.method, url, body);
    const text = JSON.stringify(result);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async #respond(method, url, body) {
    const query = url.searchParams;
    const [, , action, id] = url.pathname.split('/');
    switch (action) {
      case 'kv-key': {
        const item = this.#items.get(query.get('Key'));
        return item === undefined
          ? [404, {StoreRevision: this.#revision}]
          : [200, {...item, StoreRevision: this.#revision}];
      }
      case 'kv-range': {
        const prefix = query.get('Prefix') ?? '';
        const after = query.get('After') ?? '';
        const rest = [...this.#items.values()]
          .filter(({Key}) => Key.startsWith(prefix) && Key > after)
          .sort((a, b) => (a.Key < b.Key ? -1 : 1));
        const Items = rest.slice(0, PAGE_ITEMS);
        const MorePages = rest.length > PAGE_ITEMS;
        return [200, {Items, MorePages, StoreRevision: this.#revision}];
      }
      case 'kv-watch':
        return [200, await this.#watch(query)];
      case 'kv-txn': {
        const {ExpectRev = [], Writes = [], Remove = []} = body;
        const current = ({Key}) => this.#items.get(Key);
        if (ExpectRev.some((row) => (current(row)?.Revision ?? 0) !== row.Revision))
          return [412, {Items: ExpectRev.map(current).filter((item) => item !== undefined)}];
        if (Writes.some(({Lease}) => (Lease ?? 0) !== 0 && !this.#leases.has(Lease)))
          return [404, {}];
        return [200, {Revision: this.#commit(Writes, Remove)}];
      }
      case 'kv-lease': {
        const lease = this.#nextLease++;
        this.#renew(lease, body.TtlMs);
        return [200, {Lease: lease, TtlMs: body.TtlMs}];
      }
      case 'kv-keep': {
        const lease = this.#leases.get(Number(id));
        if (lease === undefined) return [404, {}];
        this.#renew(Number(id), lease.ttlMs);
        return [200, {TtlMs: lease.ttlMs}];
      }
      case 'kv-lease-end':
        this.#endLease(Number(id));
        return [200, {}];
      default:
        return [404, {method}];
    }
  }

  async #watch(query) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    const find = () =>
      this.#events.filter(({Key, Revision}) => Revision > after && Key.startsWith(prefix));
    if (find().length === 0) {
      await new Promise((resolve) => {
        const end = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const wake = () => {
          if (find().length > 0) end();
        };
        const timer = setTimeout(end, Number(query.get('WaitMs')));
        this.#waiting.add(wake);
      });
    }
    return {events: find(), StoreRevision: this.#revision};
  }

  #renew(lease, ttlMs) {
    clearTimeout(this.#leases.get(lease)?.timer);
    const timer = setTimeout(() => {
      this.#endLease(lease);
    }, ttlMs);
    this.#leases.set(lease, {ttlMs, timer});
  }

  #endLease(lease) {
    clearTimeout(this.#leases.get(lease)?.timer);
    this.#leases.delete(lease);
    const keys = [...this.#items.values()].filter(({Lease}) => Lease === lease && lease !== 0);
    if (keys.length > 0)
      this.#commit(
        [],
        keys.map(({Key}) => Key),
      );
  }
}

/** Bounds of the small deployments. */
const BOUNDS = {
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
  RetrySlack: 54,
  RecoveryS: 12,
  PassMs: 120,
  ReuseWindowS: 10,
};

/** One `front` machine with the role's process. */
export class Router {
  #child;
  #folder;
  #record;
  log = '';
  exit;

  constructor(name, record) {
    this.name = name;
    this.#record = record;
    this.#folder = mkdtempSync(join(tmpdir(), 'review-3-'));
    folders.add(this.#folder);
  }

  async start(storeAddress, change = {}) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    this.ip = `127.${part()}.${part()}.${part()}`;
    this.port = await freePort(this.ip);
    this.readyPort = await freePort(this.ip);
    const peerPort = await freePort(this.ip);
    const settingsPath = join(this.#folder, 'settings.json');
    const {Bounds, ...changed} = change;
    const settings = {
      NodeName: this.name,
      Role: 'front',
      MachineClass: 'front',
      Serves: ['front'],
      Ip: this.ip,
      Zone: 'z-1',
      Region: 'r-1',
      Zones: {'z-1': 'r-1'},
      Listen: {Front: `${this.ip}:${this.port}`, Ready: `${this.ip}:${this.readyPort}`},
      PortRange: [peerPort, peerPort + 15],
      Seeds: [],
      Bootstrap: true,
      Limits: {CpuShare: 0.513, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0},
      DataDir: null,
      Discovery: 'platform',
      Entry: 'virtual_ip',
      BeatIntervalMs: 1200,
      Bounds: {...BOUNDS, ...Bounds},
      Platform: {Address: storeAddress, form: 'kv', WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20},
      ...changed,
    };
    writeFileSync(settingsPath, JSON.stringify(settings));
    const {PATH, HOME, LANG} = process.env;
    this.#child = spawn(process.execPath, ROLE_COMMAND, {
      cwd: ROOT,
      env: {PATH, HOME, ...(LANG === undefined ? {} : {LANG}), MARIGOLDFOLD_SETTINGS: settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.add(this.#child);
    const collect = (data) => (this.log += data.toString());
    this.#child.stdout.on('data', collect);
    this.#child.stderr.on('data', collect);
    this.exit = new Promise((resolve) => {
      this.#child.once('exit', (code, signal) => {
        children.delete(this.#child);
        this.#record.write(`${this.name} ended, code ${code}, signal ${signal}`);
        resolve({code, signal});
      });
    });
    await until(() => this.isReady(), 15_000, `${this.name} is ready`);
    this.#record.write(`${this.name} is ready`);
  }

  get pid() {
    return this.#child.pid;
  }

  get isAlive() {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  signal(signal) {
    this.#record.write(`${signal} to ${this.name}`);
    this.#child.kill(signal);
  }

  /** Asks the readiness check as the platform does. */
  isReady() {
    return new Promise((resolve) => {
      const socket = connect(this.readyPort, this.ip);
      let text = '';
      const end = (value) => {
        clearTimeout(timer);
        socket.destroy();
        resolve(value);
      };
      const timer = setTimeout(() => {
        end(false);
      }, 1000);
      socket.on('connect', () =>
        socket.write('GET /v1/readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n'),
      );
      socket.on('data', (data) => {
        text += data.toString();
        if (text.includes('\r\n')) end(text.startsWith('HTTP/1.1 200'));
      });
      socket.on('error', () => {
        end(false);
      });
    });
  }

  async kill() {
    if (this.#child !== undefined && this.isAlive) {
      this.#child.kill('SIGCONT');
      this.#child.kill('SIGKILL');
      await this.exit;
    }
    rmSync(this.#folder, {recursive: true, force: true});
    folders.delete(this.#folder);
  }
}

/** Waits for a condition; throws if it does not come true in time. */
export async function until(condition, timeoutMs, what) {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs) throw new Error(`not in ${timeoutMs} ms: ${what}`);
    await delay(20);
  }
}

/** A configuration with the limits of the small deployments. */
export function configuration({routes, services, tenants, version = 1}) {
  return {
    Version: version,
    Routes: routes,
    Services: services,
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
    ...(tenants === undefined ? {} : {Tenants: tenants}),
  };
}

/** Plays a case and ends the program with its verdict; `play` returns what broke the rule, or undefined if it held. */
export async function runCase(folder, isTroubled, play) {
  const record = new RunRecord(folder, isTroubled);
  const ends = [];
  setTimeout(() => {
    record.write('verdict: could not run, the time is over');
    process.exit(COULD_NOT_RUN);
  }, MAX_RUN_MS);
  let code = COULD_NOT_RUN;
  try {
    const broken = await play({record, onEnd: (end) => ends.push(end)});
    record.write(`verdict: ${broken === undefined ? 'the rule held' : `broken: ${broken}`}`);
    code = broken === undefined ? HELD : BROKEN;
  } catch (error) {
    record.write(`verdict: could not run: ${error.stack}`);
  }
  try {
    for (const end of ends.reverse()) await end();
  } finally {
    process.exit(code);
  }
}
