/** A stand-in of a runner: it registers in the store and answers as PROTOCOL.md describes. */
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** Runner on a free loopback port. `work` answers a request that the runner runs. */
export class Runner {
  #record;
  #store;
  #server;
  #work;
  #bornMs = Date.now();
  /** Requests that have run, or are running. */
  runs = [];
  /** Requests that have reached this runner, also those that it has turned away. */
  arrivals = [];
  /** Headers that are added to all answers. */
  notices = {};
  /** Turns a request away instead of running it, if it returns an answer. */
  reject = () => undefined;

  constructor({record, defer}, {id, service, slots = 64, store, work}) {
    this.#record = record;
    this.#store = store;
    this.#work = work;
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.#server = createServer((request, response) => void this.#serve(request, response));
    defer(() => this.close());
  }

  async listen(host = '127.0.0.1') {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  get key() {
    return `servers/${this.id}`;
  }

  /** Writes the entry of the runner; the store's return is its acknowledgement. */
  register(state = 'ready') {
    this.#store.put(this.key, {
      Service: this.service,
      Address: this.address,
      Zone: 'zone-a',
      Version: 'v1',
      Slots: this.slots,
      State: state,
      ColdLeftMs: 0,
      Seq: 1,
      born: this.#bornMs,
    });
    this.#record.add(this.id, `entry in the store: ${state}`);
  }

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const {headers} = request;
    const id = headers['x-marigoldfold-request-id'];
    const answerHeaders = {
      'x-marigoldfold-request-id': id,
      'x-marigoldfold-server-load': `${this.runs.filter(({isRunning}) => isRunning).length},0,${this.slots}`,
      ...this.notices,
    };
    if (headers['x-marigoldfold-expect-instance'] !== this.id) {
      this.#record.add(this.id, `421 to ${id}`);
      response.writeHead(421, {...answerHeaders, 'x-marigoldfold-instance-id': this.id}).end();
      return;
    }
    const run = {id, atMs: this.#record.nowMs, headers, url: request.url, isRunning: true};
    this.arrivals.push(run);
    const rejection = this.reject();
    if (rejection !== undefined) {
      this.#record.add(this.id, `turns ${id} away: ${JSON.stringify(rejection)}`);
      response.writeHead(rejection.status, {
        ...answerHeaders,
        'x-marigoldfold-not-executed': '1',
        ...rejection.headers,
      });
      response.end();
      return;
    }
    this.runs.push(run);
    this.#record.add(
      this.id,
      `runs ${id} tenant=${headers['x-marigoldfold-tenant']} last-event-id=${headers['last-event-id']}`,
    );
    response.once('close', () => {
      run.isRunning = false;
      run.hasEnded = response.writableFinished;
      this.#record.add(this.id, `${run.hasEnded ? 'has answered' : 'drops'} ${id}`);
    });
    response.on('error', () => undefined);
    const signedHeaders = {...answerHeaders, 'x-marigoldfold-server-signature': `s.${id}`};
    await this.#work({request, response, headers: signedHeaders, run, runner: this});
  }
}

/** Answers a plain request after `workMs`. */
export function answerAfter(workMs) {
  return async ({response, headers, run}) => {
    await sleep(workMs);
    if (response.destroyed) return;
    const body = JSON.stringify({done: run.id});
    response.writeHead(200, {...headers, 'content-length': String(body.length)}).end(body);
  };
}

/**
 * Answers a stream of `count` events, one each `gapMs`, from `Last-Event-Id` on. `pauseMs` tells how long the run is
 * silent before an event, beside the gap.
 */
export function streamEvents({count, gapMs, pauseMs = () => 0}) {
  return async ({request, response, headers, run, runner}) => {
    const from = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
    for (let number = from; number <= count; number += 1) {
      await sleep(gapMs + pauseMs({number, from, run, runner}));
      if (response.destroyed) return;
      response.write(`id: ${number}\ndata: token ${number} of ${count}\n\n`);
    }
    response.end();
  };
}
