/** Configuration of a small deployment, like that of the site `cac-fees`. */

export const host = 'shop.example';
export const key = 'key-of-tenant-1';
export const tenant = 'tenant-1';

const route = {
  Host: host,
  AllowAnonymous: false,
  StickySessions: false,
  ResumeStreams: false,
};

/** Routes of the kinds on the sheet of the site, with its time limits and objectives. */
export const routes = {
  query: {
    ...route,
    Name: 'query',
    Prefix: '/query/',
    Kind: 'streaming',
    TimeoutMs: 15000,
    TargetLatencyMs: 250,
    TargetGapMs: 120,
    Priority: 0,
    Service: 'model',
    MaxAttempts: 2,
    StickySessions: true,
    ResumeStreams: true,
  },
  post: {
    ...route,
    Name: 'post',
    Prefix: '/post/',
    Kind: 'non_idempotent',
    TimeoutMs: 2000,
    TargetLatencyMs: 300,
    Priority: 2,
    Service: 'ledger',
    MaxAttempts: 1,
  },
  read: {
    ...route,
    Name: 'read',
    Prefix: '/read/',
    Kind: 'idempotent',
    TimeoutMs: 2000,
    TargetLatencyMs: 300,
    Priority: 2,
    Service: 'ledger',
    MaxAttempts: 2,
  },
  open: {
    ...route,
    Name: 'open',
    Prefix: '/open/',
    Kind: 'idempotent',
    TimeoutMs: 2000,
    TargetLatencyMs: 300,
    Priority: 2,
    Service: 'ledger',
    MaxAttempts: 2,
    AllowAnonymous: true,
  },
};

export function configuration(version = 1, changes = {}) {
  return {
    Version: version,
    Routes: Object.values(routes),
    Services: [
      {
        Name: 'model',
        HealthPath: '/healthz',
        MaxConns: 360,
        Protocol: 'h1',
        Tls: false,
        Engine: {Slots: 64, KvCapacity: 292270, KvBytes: 163840, Stride: 4, Models: [{Name: 'm'}]},
      },
      {Name: 'ledger', HealthPath: '/healthz', MaxConns: 96, Protocol: 'h1', Tls: false},
    ],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
    },
    Tenants: [{Name: tenant, ApiKeys: [key], Priority: 1}],
    ...changes,
  };
}

let prompt = 1;

/** Headers of a request to a model, with a prompt of its own. */
export function promptHeaders() {
  return {
    'api-key': key,
    'x-marigoldfold-model': 'm',
    'x-marigoldfold-token-usage': '826,80',
    'x-marigoldfold-prompt-prefix': `5c1e07a2:119,91bd3f06:79,${(prompt++).toString(16)}:628`,
  };
}
