/** Runs the forwarding router as a child process that can be signalled, stopped and restarted. */
import {type ChildProcess, spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {createWriteStream, existsSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {constants} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {sleep, systemClock} from '@marigoldfold/runtime';
import {FaultyLink} from './faultyLink.js';

const program = fileURLToPath(new URL('../../../entry/bin/forward.js', import.meta.url));

/** One router across restarts. Its connection to the key-value service goes through a faulty link. */
export class RouterProcess {
  readonly name: string;
  readonly storeLink: FaultyLink;
  readonly #folder: string;
  #child: ChildProcess | undefined;
  #startCount = 0;
  #settingsFile = '';
  #ports: readonly number[] = [];
  clientPort = 0;
  readyPort = 0;
  /** Whether the current process has logged that it started. */
  hasStarted = false;
  /** Whether the current process was killed, so that it may end by a signal. */
  #isKilled = false;
  readonly #onEnded: (lifetime: string, reason: string) => void;

  /** `onEnded` is called when a process ends by itself, or by a signal that it should handle. */
  constructor(
    name: string,
    folder: string,
    storeAddress: string,
    onEnded: (lifetime: string, reason: string) => void,
  ) {
    this.name = name;
    this.#onEnded = onEnded;
    this.#folder = folder;
    this.storeLink = new FaultyLink(() => storeAddress);
  }

  /** Name of the current process, different after each restart. */
  get lifetime(): string {
    return `${this.name}.${this.#startCount}`;
  }

  async prepare(): Promise<void> {
    const keyValue = await this.storeLink.listen();
    const [client, ready, metrics, peer] = await Promise.all([1, 2, 3, 4].map(reservePort));
    this.#ports = [client, ready, metrics].filter((port) => port !== undefined);
    this.clientPort = client ?? 0;
    this.readyPort = ready ?? 0;
    this.#settingsFile = join(this.#folder, `${this.name}.toml`);
    const lines = [
      `name = "${this.name}"`,
      `listen = "127.0.0.1:${client}"`,
      `readyListen = "127.0.0.1:${ready}"`,
      `metricsListen = "127.0.0.1:${metrics}"`,
      `peerListen = "127.0.0.1:${peer}"`,
      `keyValue = "${keyValue}"`,
      'log = {level = "info"}',
    ];
    writeFileSync(this.#settingsFile, `${lines.join('\n')}\n`);
  }

  /** Ports for clients, readiness checks and metrics. */
  get ports(): readonly number[] {
    return this.#ports;
  }

  start(): void {
    this.#startCount += 1;
    this.hasStarted = false;
    this.#isKilled = false;
    const {lifetime} = this;
    const child = spawn(process.execPath, [program, '--settings', this.#settingsFile], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.#folder, `${this.lifetime}.log`));
    child.stdout.on('data', (data: Buffer) => {
      if (data.includes('"message":"started"')) this.hasStarted = true;
    });
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    this.#child = child;
    child.once('exit', (code, signal) => {
      log.end();
      if (code !== 0 && !this.#isKilled)
        this.#onEnded(lifetime, `ended with code ${code}, signal ${signal}`);
      if (this.#child === child) this.#child = undefined;
    });
  }

  signal(signal: NodeJS.Signals): void {
    if (signal === 'SIGTERM') this.hasStarted = false;
    if (signal === 'SIGKILL') this.#isKilled = true;
    this.#child?.kill(signal);
  }

  /** Resolves when the current process handles signals, which it does before it is ready. */
  async receivesSignals(): Promise<void> {
    while (this.#child?.exitCode === null && !this.hasStarted) {
      if (handlesSignal(this.#child.pid, constants.signals.SIGHUP)) return;
      await sleep(systemClock, SIGNAL_POLL_MS);
    }
  }

  /** Stops the current process in order. Before it handles signals, SIGTERM would end it, as Node.js itself starts. */
  async terminate(): Promise<void> {
    await this.receivesSignals();
    this.signal('SIGTERM');
    await this.exited();
  }

  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited();
  }

  /** Resolves when the current process has exited. */
  async exited(): Promise<void> {
    const child = this.#child;
    if (child?.exitCode !== null || child.signalCode !== null) return;
    await new Promise<void>((resolve) => {
      child.once('exit', () => {
        resolve();
      });
    });
  }

  async stop(): Promise<void> {
    this.signal('SIGCONT');
    await this.kill();
    this.storeLink[Symbol.dispose]();
  }
}

const SIGNAL_POLL_MS = 2;

/** Whether a process handles a signal; false where the operating system does not tell. */
function handlesSignal(pid: number | undefined, signal: number): boolean {
  const path = `/proc/${pid}/status`;
  if (!existsSync(path)) return false;
  const [, mask = '0'] = /^SigCgt:\s*(\w+)$/m.exec(readFileSync(path, 'utf8')) ?? [];
  return (BigInt(`0x${mask}`) & (1n << BigInt(signal - 1))) !== 0n;
}

/** Below the ephemeral ports, so that no outgoing connection takes a port while its router is down. */
const PORT_RANGE = {from: 20_000, to: 32_000} as const;

/** Ports that this process has given out; a router that is down does not listen on its own. */
const reservedPorts = new Set<number>();

/** Resolves to a port on which nothing listens, a different one each time. */
export async function reservePort(): Promise<number> {
  while (true) {
    const port = randomInt(PORT_RANGE.from, PORT_RANGE.to);
    if (reservedPorts.has(port)) continue;
    reservedPorts.add(port);
    if (await canListen(port)) return port;
  }
}

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
