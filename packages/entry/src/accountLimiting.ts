/** The account limits of one entry: as the one that admits, and as the home of some accounts. */
import {
  AccountHome,
  AccountLimits,
  EntryDirectory,
  type PeerConnections,
} from '@marigoldfold/coordination';
import {accountGrantMethod, type Instance} from '@marigoldfold/protocol';
import {type Clock, DisposableStore} from '@marigoldfold/runtime';
import type {Account} from '@marigoldfold/state';
import {
  type ClusterKey,
  type ControlServer,
  createControlServer,
  Methods,
} from '@marigoldfold/transport';
import {createGrantCall} from './grantCall.js';

/** What the account limits of an entry need. */
export interface AccountLimitingOptions {
  readonly clock: Clock;
  readonly self: string;
  readonly region: string;
  readonly clusterKey: ClusterKey;
  readonly accountOf: (name: string) => Account | undefined;
  /** The control connections of this entry. */
  readonly peers: Pick<PeerConnections, 'connection'>;
  /** Adds what other processes may call besides. */
  readonly registerMethods: (methods: Methods) => Methods;
}

/** Account limits with the control server that other entries call. */
export interface AccountLimiting extends Disposable {
  readonly limits: AccountLimits;
  readonly control: ControlServer;
  /** Takes a new list of instances. */
  update(instances: readonly Instance[]): void;
}

/** Creates the account limits of an entry. */
export function createAccountLimiting(options: AccountLimitingOptions): AccountLimiting {
  const {clock, self, region, clusterKey, accountOf, peers, registerMethods} = options;
  const disposables = new DisposableStore();
  const directory = new EntryDirectory(clock, self, region);
  const home = new AccountHome({clock, directory, accountOf});
  const call = createGrantCall(peers, self);
  const limits = disposables.add(new AccountLimits({clock, directory, home, call, accountOf}));
  const methods = registerMethods(new Methods()).add(accountGrantMethod, ({entry, asks}) => ({
    grants: asks.map((ask) => home.grant(entry, ask) ?? null),
  }));
  const control = disposables.add(createControlServer(methods, clusterKey));
  return {
    limits,
    control,
    update(instances) {
      directory.update(instances);
      home.dropMovedAccounts();
    },
    [Symbol.dispose]() {
      disposables[Symbol.dispose]();
    },
  };
}
