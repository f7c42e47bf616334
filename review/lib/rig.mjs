/** Starts the router of the deploy file, and records what clients, runners and the platform see. */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Bounds of the small sites `cac-fees` and `copisteria-bs` (SYSTEM.md). */
export const bounds = {
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
};

/** Whether the disruption of the case takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes `record.txt` of a case, with the milliseconds since the start. */
export class Record {
  #lines = [];
  #path;
  #startedAt = performance.now();

  constructor(caseUrl) {
    this.#path = fileURLToPath(new URL('record.txt', caseUrl));
  }

  get nowMs() {
    return performance.now() - this.#startedAt;
  }

  add(who, text) {
    this.#lines.push(`${this.nowMs.toFixed(0).padStart(7)} ${who.padEnd(10)} ${text}`);
  }

  save() {
    writeFileSync(this.#path, `${this.#lines.join('\n')}\n`);
  }
}

/** Runs a case, ends everything that it started, and exits with the verdict: 0 held, 1 broken, 2 could not run. */
export async function runCase(caseUrl, play) {
  const record = new Record(caseUrl);
  const cleanups = [];
  const defer = (action) => cleanups.push(action);
  const cleanUp = async () => {
    for (const action of cleanups.splice(0).reverse()) await action();
  };
  let exitCode = 2;
  const limit = setTimeoutOnce(110_000, () => {
    record.add('case', 'could not run: 110 s are over');
    record.save();
    void cleanUp().finally(() => process.exit(2));
  });
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
    process.once(signal, () => void cleanUp().finally(() => process.exit(2)));
  record.add('case', hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  try {
    const {isBroken, summary} = await play({record, defer});
    exitCode = isBroken ? 1 : 0;
    record.add('case', `${isBroken ? 'BROKEN' : 'held'}: ${summary}`);
    console.log(`${isBroken ? 'BROKEN' : 'held'}: ${summary}`);
  } catch (error) {
    record.add('case', `could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  limit.cancel();
  await cleanUp();
  record.save();
  process.exit(exitCode);
}

function setTimeoutOnce(delayMs, action) {
  const timer = setTimeout(action, delayMs);
  return {cancel: () => clearTimeout(timer)};
}

/** Resolves to a port on which nothing listens. */
export function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The router on one machine, started with the command of the deploy file. */
export class Router {
  #record;
  #child;
  #settings;
  exit = undefined;

  constructor(record, settings) {
    this.#record = record;
    this.#settings = settings;
  }

  static async start({record, defer}, {name = 'front-1', ip = loopbackAddress(), storeAddress}) {
    const folder = mkdtempSync(join(tmpdir(), 'marigoldfold-review-'));
    defer(() => rmSync(folder, {recursive: true, force: true}));
    const [front, ready, control, peer] = await Promise.all([1, 2, 3, 4].map(() => freePort(ip)));
    const settings = {
      NodeName: name,
      Role: 'front',
      MachineClass: 'front',
      Serves: ['front'],
      Ip: ip,
      Zone: 'zone-a',
      Region: 'region',
      Zones: {'zone-a': 'region'},
      Listen: {
        Front: `${ip}:${front}`,
        Ready: `${ip}:${ready}`,
        Control: `${ip}:${control}`,
      },
      PortRange: [peer, peer],
      Seeds: [],
      Bootstrap: true,
      CountLoss: false,
      Limits: {CpuShare: 0.513, Cores: 1, MemoryMb: 200, MaxFds: 4200, LinkMbps: 1000, DiskMb: 0},
      DataDir: null,
      Discovery: 'platform',
      Entry: 'virtual_ip',
      BeatIntervalMs: 1200,
      Contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
        'platform',
      ],
      Tolerate: {Machines: 1, Zones: 0, Regions: 0},
      Bounds: bounds,
      Platform: {
        Address: storeAddress,
        form: 'kv',
        WritesPerS: 400,
        ReadsPerS: 2000,
        HistoryS: 20,
        ValueBytes: 1048576,
        MinTtlMs: 1000,
      },
    };
    const router = new Router(record, settings);
    router.host = ip;
    router.port = front;
    router.readyPort = ready;
    const settingsPath = join(folder, 'settings.json');
    writeFileSync(settingsPath, JSON.stringify(settings));
    router.#spawn(settingsPath);
    defer(() => router.#kill());
    await router.#untilReady();
    return router;
  }

  #spawn(settingsPath) {
    const [, command] = /^run = "(.*)"$/m.exec(
      readFileSync(join(root, 'deploy/system.toml'), 'utf8'),
    );
    const [program, ...parameters] = command.split(' ');
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(program, parameters, {
      cwd: root,
      env: {PATH, HOME, LANG, MARIGOLDFOLD_SETTINGS: settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    const name = this.#settings.NodeName;
    let rest = '';
    child.stdout.on('data', (data) => {
      const lines = (rest + String(data)).split('\n');
      rest = lines.pop() ?? '';
      for (const line of lines) this.#record.add(name, `log ${line}`);
    });
    child.stderr.on('data', (data) => this.#record.add(name, `stderr ${String(data).trim()}`));
    child.once('error', (error) => this.#record.add(name, `not started: ${error.message}`));
    child.once('exit', (code, signal) => {
      this.exit = {code, signal};
      this.#record.add('platform', `${name} has ended: code ${code}, signal ${signal}`);
    });
  }

  async #untilReady() {
    for (let attempt = 0; attempt < 200; attempt += 1) {
      if (this.exit !== undefined) throw new Error('the router has ended before it was ready');
      const status = await this.#checkReady();
      if (status === 200) return;
      await sleep(50);
    }
    throw new Error('the router is not ready');
  }

  #checkReady() {
    return new Promise((resolve) => {
      const outgoing = httpRequest(
        {host: this.host, port: this.readyPort, path: '/v1/readyz', agent: false},
        (response) => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      outgoing.on('error', () => resolve(0));
      outgoing.end();
    });
  }

  /** Answer of the readiness check; 0 if there is none. */
  ready() {
    return this.#checkReady();
  }

  signal(signal) {
    this.#record.add('platform', `${signal} to ${this.#settings.NodeName}`);
    this.#child.kill(signal);
  }

  async untilExit() {
    while (this.exit === undefined) await sleep(20);
  }

  async #kill() {
    if (this.exit !== undefined || this.#child.pid === undefined) return;
    this.#child.kill('SIGCONT');
    this.#child.kill('SIGKILL');
    await this.untilExit();
  }
}

/** A loopback address of its own, since the router's metrics port is fixed. */
export function loopbackAddress() {
  const part = () => 1 + Math.floor(Math.random() * 254);
  return `127.${part()}.${part()}.${part()}`;
}

let nextId = 1;

/** A client with kept channels. */
export class Client {
  #record;
  #agent = new Agent({keepAlive: true});

  constructor({record, defer}) {
    this.#record = record;
    defer(() => this.#agent.destroy());
  }

  /**
   * Sends one request; resolves to its status (0 if the channel ended without an answer), headers and body, and whether
   * the answer is complete. `patienceMs` is the gap after which the client gives up.
   */
  send(router, {method, path, headers = {}, body, deadlineMs, patienceMs}) {
    const id = `r${String(process.pid)}-${nextId++}`;
    const outcome = {id, sentAtMs: this.#record.nowMs, status: 0, headers: {}, body: ''};
    const log = (text) => this.#record.add('client', `${id} ${text}`);
    log(`sends ${method} ${path} ${JSON.stringify(headers)}`);
    return new Promise((resolve) => {
      let timer;
      const finish = (end) => {
        if (outcome.end !== undefined) return;
        timer?.cancel();
        outcome.end = end;
        outcome.endedAtMs = this.#record.nowMs;
        outcome.isComplete = end === 'complete';
        log(`got ${outcome.status}, ${end}, ${JSON.stringify(outcome.body.slice(-60))}`);
        resolve(outcome);
      };
      const outgoing = httpRequest({
        host: router.host,
        port: router.port,
        agent: this.#agent,
        method,
        path,
        headers: {
          host: 'shop.example',
          'x-marigoldfold-request-id': id,
          'x-marigoldfold-deadline': String(deadlineMs),
          ...(body === undefined ? {} : {'content-length': String(body.length)}),
          ...headers,
        },
      });
      const waitOn = () => {
        timer?.cancel();
        timer = setTimeoutOnce(patienceMs ?? deadlineMs, () => {
          finish('given up by the client');
          outgoing.destroy();
        });
      };
      waitOn();
      outgoing.on('response', (response) => {
        outcome.status = response.statusCode;
        outcome.headers = response.headers;
        response.setEncoding('utf8');
        response.on('data', (text) => {
          outcome.body += text;
          if (patienceMs !== undefined) waitOn();
        });
        response.on('error', () => undefined);
        response.on('close', () => finish(response.complete ? 'complete' : 'channel ended early'));
      });
      outgoing.on('error', (error) => finish(`channel ended without an answer (${error.code})`));
      outgoing.end(body);
    });
  }
}
