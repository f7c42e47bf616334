/** The callers' API with a router that returns prepared chunks. */
import {createRequestIdGenerator, type WorkRequest} from '@marigoldfold/protocol';
import {DisposableStore, silentLogger, systemClock} from '@marigoldfold/runtime';
import {Configuration, digestText, createInitialHead} from '@marigoldfold/state';
import {
  type HttpServer,
  listen,
  type MemoryBudget,
  serverLimitsSchema,
} from '@marigoldfold/transport';
import {ok} from 'neverthrow';
import {Registry} from 'prom-client';
import {RequestMetrics} from '../requestMetrics.js';
import {createCallersApi} from '../callersApi.js';
import type {RoutedAnswer} from '../attempt.js';

/** Bearer key of `choir`, the only account in the configuration. */
export const scriptedKey = 'mf.choir.AAAA';

const configuration = Configuration.empty.apply(
  [
    {kind: 'endpointSet', name: 'engines', state: {type: 'engine', models: ['m'], slots: 4}},
    {kind: 'class', name: 'short', state: {tier: 1, endpointSets: ['engines']}},
    {
      kind: 'account',
      name: 'choir',
      state: {
        keyDigests: [digestText(scriptedKey)],
        classes: ['short'],
        defaultClass: 'short',
        requestsPerSecond: 1000,
        burst: 1000,
        concurrency: 100,
      },
    },
  ],
  1,
);

/** Serves the API on a free port; the script maps each request to the data of its answer's chunks. */
export async function serveScriptedApi(
  script: (work: WorkRequest) => readonly unknown[],
  memory?: MemoryBudget,
): Promise<HttpServer> {
  const limits = serverLimitsSchema.parse({});
  const server = await listen({
    host: '127.0.0.1',
    port: 0,
    limits,
    handle: createCallersApi({
      incarnation: 'test',
      clock: systemClock,
      logger: silentLogger,
      limits,
      ...(memory === undefined ? {} : {memory}),
      head: () => ({...createInitialHead(''), number: 1, configuration}),
      accountLimits: {admit: () => Promise.resolve(ok(new DisposableStore()))},
      router: {route: ({work}) => replayChunks(script(work))},
      metrics: new RequestMetrics(new Registry()),
      nextRequestId: createRequestIdGenerator('test'),
    }),
    onUnhandledError: (error) => {
      throw error;
    },
  });
  return server._unsafeUnwrap();
}

async function* replayChunks(chunks: readonly unknown[]): RoutedAnswer {
  for (const [index, chunk] of chunks.entries()) {
    const data = typeof chunk === 'string' ? chunk : JSON.stringify(chunk);
    yield {kind: 'chunk', number: index + 1, data};
    await Promise.resolve();
  }
  return {kind: 'whole'};
}
