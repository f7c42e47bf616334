/** Starts the stand-ins on loopback. */
import {type Clock, DisposableStore} from '@marigoldfold/runtime';
import {
  type HttpServer,
  listen,
  type ListenError,
  serverLimitsSchema,
} from '@marigoldfold/transport';
import type {Result} from 'neverthrow';
import {serveEngine} from './engineServer.js';
import {SwitchableKeyValue} from './switchableKeyValue.js';
import {LaggingInstanceList, serveInstanceList} from './instanceListServer.js';
import {serveKeyValue} from './keyValueServer.js';
import {Ledger, serveLedger} from './ledgerService.js';
import {MemoryKeyValue} from './memoryKeyValue.js';
import {type EngineSpeed, SimulatedEngine} from './simulatedEngine.js';

const LOOPBACK = '127.0.0.1';
const limits = serverLimitsSchema.parse({maxBodyBytes: 16_777_216});

type RequestHandler = Parameters<typeof listen>[0]['handle'];

/** A stand-in that listens on loopback until it is disposed. */
export interface StandIn<T> extends Disposable {
  readonly address: string;
  /** The in-process object that serves the address; tests inspect it and inject faults. */
  readonly implementation: T;
}

async function startStandIn<T>(
  implementation: T,
  handle: RequestHandler,
  port: number,
): Promise<Result<StandIn<T>, ListenError>> {
  const onUnhandledError = (error: unknown) => {
    process.stderr.write(`stand-in: ${String(error)}\n`);
  };
  const server = await listen({host: LOOPBACK, port, limits, handle, onUnhandledError});
  return server.map((listening: HttpServer) => ({
    address: listening.address,
    implementation,
    [Symbol.dispose]() {
      listening[Symbol.dispose]();
    },
  }));
}

/** The key-value service on loopback, with faults that apply to all clients. */
export interface KeyValueStandIn extends StandIn<MemoryKeyValue> {
  readonly faults: SwitchableKeyValue;
}

/** Starts an in-memory key-value service; port 0 selects a free port. */
export async function startKeyValue(
  clock: Clock,
  port = 0,
): Promise<Result<KeyValueStandIn, ListenError>> {
  const store = new MemoryKeyValue(clock);
  const faults = new SwitchableKeyValue(store, clock);
  const server = await startStandIn(store, serveKeyValue(faults), port);
  return server.map((standIn) => ({...standIn, faults}));
}

/** Starts an instance list that publishes changes after `lagMs`; port 0 selects a free port. */
export function startInstanceList(
  clock: Clock,
  lagMs: number,
  port = 0,
): Promise<Result<StandIn<LaggingInstanceList>, ListenError>> {
  const list = new LaggingInstanceList(clock, lagMs);
  return startStandIn(list, serveInstanceList(list), port);
}

/** Starts a simulated model engine; port 0 selects a free port. */
export async function startEngine(
  clock: Clock,
  speed: EngineSpeed,
  port = 0,
): Promise<Result<StandIn<SimulatedEngine>, ListenError>> {
  const engine = new SimulatedEngine(clock, speed);
  const server = await startStandIn(engine, serveEngine(engine), port);
  return server.map((standIn) => {
    const disposables = new DisposableStore();
    disposables.add(engine);
    disposables.add(standIn);
    return {
      ...standIn,
      [Symbol.dispose]() {
        disposables[Symbol.dispose]();
      },
    };
  });
}

/** Starts a ledger service; port 0 selects a free port. */
export function startLedger(port = 0): Promise<Result<StandIn<Ledger>, ListenError>> {
  const ledger = new Ledger();
  return startStandIn(ledger, serveLedger(ledger), port);
}

/** Returns a speed whose inter-token latency grows by 2% of `interTokenMs` per further request in the batch. */
export function batchingSpeed(slots: number, interTokenMs: number): EngineSpeed {
  const slowdownPerRequest = 0.02;
  const prefillTokensPerSecond = 8000;
  return {
    slots,
    prefillTokensPerSecond,
    interTokenMs: (batchSize) => interTokenMs * (1 + slowdownPerRequest * (batchSize - 1)),
  };
}
