/** A stand-in of the platform's metadata store, with the calls that PROTOCOL.md describes. */
import {createServer} from 'node:http';
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';

const PAGE_ITEMS = 500;

/** Store on a free loopback port. The operator and the runners write to it with `put` and `remove`. */
export class Store {
  #items = new Map();
  #revision = 100;
  /** All changes, oldest first. */
  #history = [];
  #leases = new Map();
  #nextLease = 1;
  #waiting = new Set();
  #cuts = new Set();
  #server = createServer((request, response) => void this.#serve(request, response));
  /** Whether the store is down: it accepts connections and calls, and answers nothing. */
  isSilent = false;
  /** Called with each call that arrives. */
  onCall = () => undefined;

  async listen(host = '127.0.0.1') {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
    for (const {timer} of this.#leases.values()) clearTimeout(timer);
  }

  /** Writes an item as the operator or a runner; its return is the acknowledgement. */
  put(key, value, lease = 0) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const revision = ++this.#revision;
    const created = this.#items.get(key)?.Created ?? revision;
    const item = {
      Key: key,
      Value: Buffer.from(text).toString('base64'),
      Revision: revision,
      Created: created,
      Lease: lease,
    };
    this.#items.set(key, item);
    this.#history.push(item);
    this.#wake();
    return revision;
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#history.push({Key: key, Revision: ++this.#revision, Deleted: true});
    this.#wake();
  }

  /** Cuts the watches that wait now: closes their channels without an answer. Returns how many. */
  cutWatches() {
    const cut = [...this.#cuts];
    for (const action of cut) action();
    return cut.length;
  }

  #wake() {
    for (const watch of [...this.#waiting]) watch();
  }

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(request.url, 'http://store');
    this.onCall(`${request.method} ${url.pathname}`);
    if (this.isSilent) return;
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
    if (url.pathname === '/v1/kv-watch') this.#watch(url.searchParams, response);
    else send(response, ...this.#answer(request.method, url, body));
  }

  #answer(method, {pathname, searchParams}, body) {
    const [, , call, id] = pathname.split('/');
    switch (call) {
      case 'kv-key': {
        const item = this.#items.get(searchParams.get('Key'));
        return item === undefined ? [404, {}] : [200, item];
      }
      case 'kv-range': {
        const after = searchParams.get('After') ?? '';
        const keys = [...this.#items.keys()]
          .filter((key) => key.startsWith(searchParams.get('Prefix') ?? '') && key > after)
          .sort();
        const Items = keys.slice(0, PAGE_ITEMS).map((key) => this.#items.get(key));
        return [200, {Items, MorePages: keys.length > PAGE_ITEMS, StoreRevision: this.#revision}];
      }
      case 'kv-txn':
        return this.#commit(body);
      case 'kv-lease': {
        const lease = this.#nextLease++;
        this.#leases.set(lease, {ttlMs: body.TtlMs, timer: undefined});
        this.#extend(lease);
        return [200, {Lease: lease, TtlMs: body.TtlMs}];
      }
      case 'kv-keep':
        return this.#extend(Number(id))
          ? [200, {TtlMs: this.#leases.get(Number(id)).ttlMs}]
          : [404, {}];
      case 'kv-lease-end':
        this.#end(Number(id));
        return [200, {}];
      default:
        return [404, {}];
    }
  }

  #commit({ExpectRev = [], Writes = [], Remove = []}) {
    const holds = ({Key, Revision}) => (this.#items.get(Key)?.Revision ?? 0) === Revision;
    if (!ExpectRev.every(holds)) {
      const Items = ExpectRev.map(({Key}) => this.#items.get(Key) ?? {Key, Revision: 0});
      return [412, {Items}];
    }
    for (const {Lease} of Writes) {
      if (Lease !== 0 && !this.#leases.has(Lease)) return [404, {}];
    }
    for (const {Key, Value, Lease} of Writes)
      this.put(Key, Buffer.from(Value, 'base64').toString(), Lease);
    for (const key of Remove) this.remove(key);
    return [200, {Revision: this.#revision}];
  }

  #extend(lease) {
    const held = this.#leases.get(lease);
    if (held === undefined) return false;
    clearTimeout(held.timer);
    held.timer = setTimeout(() => this.#end(lease), held.ttlMs);
    return true;
  }

  #end(lease) {
    clearTimeout(this.#leases.get(lease)?.timer);
    this.#leases.delete(lease);
    for (const [key, {Lease}] of this.#items) {
      if (Lease === lease) this.remove(key);
    }
  }

  #watch(query, response) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    let timer;
    const cut = () => response.destroy();
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      this.#cuts.delete(cut);
    };
    const check = (isOver = false) => {
      const events = this.#history.filter(
        ({Key, Revision}) => Revision > after && Key.startsWith(prefix),
      );
      if (events.length === 0 && isOver !== true) return false;
      finish();
      if (!this.isSilent) send(response, 200, {events, StoreRevision: this.#revision});
      return true;
    };
    response.once('close', finish);
    if (check()) return;
    this.#waiting.add(check);
    this.#cuts.add(cut);
    timer = setTimeout(() => check(true), Number(query.get('WaitMs')));
  }
}

function send(response, status, body) {
  response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
}
