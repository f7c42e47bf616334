/** Account limits of one entry, which admits requests and grants permits as the home of some accounts. */
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
  RpcMethods,
} from '@marigoldfold/transport';
import {createGrantCall} from './grantCall.js';

/** Configuration, connections to peers and control methods that the account limits of an entry need. */
export interface AccountLimitingOptions {
  readonly clock: Clock;
  readonly self: string;
  readonly region: string;
  readonly clusterKey: ClusterKey;
  readonly accountOf: (name: string) => Account | undefined;
  /** Control connections to other instances. */
  readonly peers: Pick<PeerConnections, 'connection'>;
  /** Adds the methods other than the grant method that peers may call on the control connection. */
  readonly addPeerMethods: (methods: RpcMethods) => RpcMethods;
}

/** Account limits with the control server through which other entries request grants. */
export interface AccountLimiting extends Disposable {
  readonly limits: AccountLimits;
  readonly control: ControlServer;
  /** Applies a new list of instances, which may move accounts to other homes. */
  update(instances: readonly Instance[]): void;
}

/** Creates the limits and registers the grant method on a new control server. */
export function createAccountLimiting(options: AccountLimitingOptions): AccountLimiting {
  const {clock, self, region, clusterKey, accountOf, peers, addPeerMethods} = options;
  const disposables = new DisposableStore();
  const directory = new EntryDirectory(clock, self, region);
  const home = new AccountHome({clock, directory, accountOf});
  const call = createGrantCall(peers, self);
  const limits = disposables.add(new AccountLimits({clock, directory, home, call, accountOf}));
  const methods = addPeerMethods(new RpcMethods()).add(accountGrantMethod, ({entry, asks}) => ({
    grants: asks.map((request) => home.grant(entry, request) ?? null),
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
