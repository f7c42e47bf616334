import {describe, expect, test} from 'vitest';
import type {Route, RoutingConfiguration} from '../routingConfiguration.js';
import {RoutingTable} from '../routingTable.js';

function routeOf(name: string, host: string, prefix: string): Route {
  return {
    name,
    host,
    prefix,
    kind: 'idempotent',
    timeoutMs: 1000,
    targetMs: 100,
    pauseTargetMs: undefined,
    priority: 0,
    shares: [{service: 's', weight: 1}],
    maxAttempts: 1,
    allowsAnonymous: false,
    hasPromptParts: false,
    isResumable: false,
  };
}

const configuration: RoutingConfiguration = {
  version: 3,
  routes: [
    routeOf('short', 'a.example', '/x/'),
    routeOf('long', 'a.example', '/x/y/'),
    routeOf('other', 'b.example', '/x/'),
  ],
  services: [{name: 's', healthPath: '/', connectionLimit: 1, engine: undefined}],
  accounts: [{name: 'one', keys: ['k1', 'k2'], priority: undefined}],
  limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
};

describe('a routing table', () => {
  const table = new RoutingTable(configuration);

  test('knows the longest objective of the routes to a service', () => {
    const short = {...routeOf('short', 'a.example', '/x/'), targetMs: 50};
    const split = {
      ...routeOf('split', 'a.example', '/y/'),
      targetMs: 900,
      shares: ['s', 't'].map((service) => ({service, weight: 1})),
    };
    const splitTable = new RoutingTable({...configuration, routes: [short, split]});
    expect(['s', 't', 'none'].map((service) => splitTable.longestTargetMs(service))).toEqual([
      900, 900, 0,
    ]);
  });

  test.each([
    ['a.example', '/x/y/z', 'long'],
    ['a.example', '/x/y', 'short'],
    ['A.Example:8080', '/x/?q=/x/y/', 'short'],
    ['b.example', '/x/y/z', 'other'],
    ['a.example', '/x', undefined],
    ['c.example', '/x/', undefined],
    ['', '', undefined],
  ])('finds the longest matching prefix for %s%s', (host, target, name) => {
    expect(table.findRoute(host, target)?.name).toBe(name);
  });

  test('finds accounts by any of their keys and services by name', () => {
    expect(table.findAccount('k2')?.name).toBe('one');
    expect(table.findAccount('k3')).toBeUndefined();
    expect(table.findService('s')?.name).toBe('s');
    expect(table.findService('t')).toBeUndefined();
  });

  test('requires keys only when accounts are configured', () => {
    expect(table.needsKeys).toBe(true);
    expect(new RoutingTable({...configuration, accounts: undefined}).needsKeys).toBe(false);
  });
});
