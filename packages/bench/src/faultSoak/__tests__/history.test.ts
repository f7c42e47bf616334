import {describe, expect, test} from 'vitest';
import {
  responseBody,
  History,
  type CallerOutcome,
  type EndpointRun,
  type SentRequest,
} from '../history.js';

const bounds = {revocationMs: 5000, drainMs: 2000, staleVersionMs: 250, cancellationMs: 500};

function create() {
  const history = new History(bounds);
  return {
    history,
    send: (more: Partial<SentRequest> = {}) => {
      history.onSent({id: 'r', kind: 'idempotent', key: 'k', lifetime: 'a.1', atMs: 0, ...more});
    },
    run: (more: Partial<EndpointRun> = {}, isConnected = true) => {
      const defaults = {id: 'r', endpoint: 'e1', version: 1, atMs: 10, isUndelayed: true};
      history.onRun({...defaults, ...more}, () => isConnected);
    },
    get: (more: Partial<CallerOutcome> = {}) => {
      const body = responseBody('r', 'e1');
      history.onOutcome({
        id: 'r',
        status: 200,
        isComplete: true,
        body,
        atMs: 50,
        hadOnlyPlannedWork: true,
        ...more,
      });
    },
    rules: () => history.violations.map(({rule}) => rule),
  };
}

describe('the checker of a soak', () => {
  test('finds nothing wrong with a request that is answered by the endpoint that ran it', () => {
    const {send, run, get, rules} = create();
    send();
    run();
    get();
    expect(rules()).toEqual([]);
  });

  test('finds a run that nobody asked for', () => {
    const {run, rules} = create();
    run();
    expect(rules()).toEqual(['unasked']);
  });

  test('finds a run that begins or goes on long after the caller has left', () => {
    const {history, send, run, rules} = create();
    send();
    history.onCallerDisconnected('r', 100);
    run({atMs: 600});
    history.onWorkContinued('r', 600);
    expect(rules()).toEqual([]);
    run({atMs: 601});
    history.onWorkContinued('r', 601);
    expect(rules()).toEqual(['gone', 'gone']);
  });

  test('lets a run begin late that a harmed link has held up', () => {
    const {history, send, run, rules} = create();
    send();
    history.onCallerDisconnected('r', 100);
    run({atMs: 2000, isUndelayed: false});
    expect(rules()).toEqual([]);
  });

  test('finds a second run, and lets what may be repeated run twice', () => {
    const {send, run, rules} = create();
    send();
    run();
    run({endpoint: 'e2'});
    send({id: 'p', kind: 'nonIdempotent'});
    run({id: 'p'});
    run({id: 'p', endpoint: 'e2'});
    expect(rules()).toEqual(['twice']);
  });

  test.each([429, 503, 408, 421])('finds status %d of a request that ran before', (status) => {
    const {send, run, get, rules} = create();
    send({kind: 'nonIdempotent'});
    run();
    get({status, body: ''});
    expect(rules()).toEqual(['not run']);
  });

  test('finds a run after a refusal', () => {
    const {send, run, get, rules} = create();
    send({kind: 'nonIdempotent'});
    get({status: 503, body: ''});
    run();
    expect(rules()).toEqual(['not run']);
  });

  test("finds another request's answer, and one that only looks whole", () => {
    const {send, run, get, rules} = create();
    send();
    run();
    get({body: responseBody('other', 'e1')});
    get({body: responseBody('r', 'e1').slice(0, -1)});
    expect(rules()).toEqual(['mixed', 'mixed']);
  });

  test('finds a stream with a missing event, and one without its end', () => {
    const {send, run, get, rules} = create();
    send({kind: 'stream'});
    run();
    get({body: 'id: 1\ndata: part 1\n\nid: 2\ndata: end of r\n\n'});
    expect(rules()).toEqual([]);
    get({body: 'id: 1\ndata: part 1\n\nid: 3\ndata: end of r\n\n'});
    get({body: 'id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n'});
    expect(rules()).toEqual(['order', 'order']);
  });

  test('finds a revoked key that works after the bound', () => {
    const {history, send, run, rules} = create();
    history.onRevoked('k', 0);
    send({atMs: 4900});
    run({atMs: 9000});
    expect(rules()).toEqual([]);
    send({atMs: 5100});
    run({atMs: 5150});
    expect(rules()).toEqual(['revoked']);
  });

  test('finds new work for a leaving endpoint, unless the router was out of touch', () => {
    const {history, send, run, rules} = create();
    history.onLeaving('e1', 0);
    send();
    run({atMs: 1900});
    run({atMs: 2100}, false);
    expect(rules()).toEqual([]);
    run({atMs: 2100});
    expect(rules()).toEqual(['leaving']);
  });

  test('finds a configuration that goes back, but not in a new lifetime', () => {
    const {send, run, rules} = create();
    send({atMs: 100});
    run({version: 5, atMs: 100});
    send({atMs: 200});
    run({version: 4, atMs: 900});
    send({atMs: 900, lifetime: 'a.2'});
    run({version: 4, atMs: 900});
    expect(rules()).toEqual([]);
    send({atMs: 900});
    run({version: 4, atMs: 900});
    expect(rules()).toEqual(['regress']);
  });

  test('finds what planned work cuts, but not what a fault cuts', () => {
    const {send, run, get, rules} = create();
    send();
    run();
    get({status: 0, isComplete: false, body: '', hadOnlyPlannedWork: false});
    expect(rules()).toEqual([]);
    get({status: 0, isComplete: false, body: ''});
    expect(rules()).toEqual(['cut']);
  });
});
