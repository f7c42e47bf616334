/** `marigoldfold claim list`, `claim show` and `claim settle`. */
import {Args, Flags} from '@oclif/core';
import type {ClaimView} from '@marigoldfold/entry';
import {digestText} from '@marigoldfold/state';
import {OperatorCommand, operatorFlags} from '../operatorFlags.js';
import {formatTable} from '../table.js';

const callArgs = {
  account: Args.string({description: 'client account that made the call', required: true}),
  key: Args.string({description: "the caller's idempotency key", required: true}),
};

const keyFlags = {
  ...operatorFlags,
  digest: Flags.boolean({description: 'the key is given as its SHA-256 digest'}),
};

function toDigest(key: string, isDigest: boolean): string {
  return isDigest ? key : digestText(key);
}

function formatClaims(claims: readonly ClaimView[]): string {
  const rows = claims.map(({account, keyDigest, state, claimedAtMs, status, settlements}) => [
    account,
    keyDigest,
    state,
    new Date(claimedAtMs).toISOString(),
    status,
    settlements.map(({operator, reason}) => `${operator}: ${reason}`).join('; '),
  ]);
  return formatTable(['ACCOUNT', 'KEY DIGEST', 'STATE', 'CLAIMED', 'STATUS', 'SETTLED BY'], rows);
}

/** Lists claims, by default the pending ones. */
export class ClaimList extends OperatorCommand {
  static override readonly description =
    'Lists calls that may run at most once; by default only those with an unknown outcome.';
  static override readonly examples = [
    'marigoldfold claim list',
    'marigoldfold claim list --account parish-choir --all',
  ];
  static override readonly flags = {
    ...operatorFlags,
    account: Flags.string({description: 'only calls of this client account'}),
    all: Flags.boolean({description: 'include recorded and settled calls'}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(ClaimList);
    using client = this.connect(flags);
    const claims: ClaimView[] = [];
    let after: string | undefined;
    do {
      const page = this.unwrapOrExit(
        await client.listClaims({
          onlyPending: !flags.all,
          ...(flags.account === undefined ? {} : {account: flags.account}),
          ...(after === undefined ? {} : {after}),
        }),
      );
      claims.push(...page.claims);
      after = page.next;
    } while (after !== undefined);
    this.log(flags.json ? JSON.stringify(claims) : formatClaims(claims));
  }
}

/** Prints one claim as JSON. */
export class ClaimShow extends OperatorCommand {
  static override readonly description = 'Shows the state of one call.';
  static override readonly examples = ['marigoldfold claim show parish-choir order-17'];
  static override readonly args = callArgs;
  static override readonly flags = keyFlags;

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(ClaimShow);
    using client = this.connect(flags);
    const claim = this.unwrapOrExit(
      await client.showClaim(args.account, toDigest(args.key, flags.digest)),
    );
    this.log(JSON.stringify(claim, undefined, flags.json ? undefined : 2));
  }
}

/** Records an operator's statement whether a call with an unknown outcome was executed. */
export class ClaimSettle extends OperatorCommand {
  static override readonly description =
    'Records whether a call was run, after an operator has checked the service. A call settled as not run may run again under its key.';
  static override readonly examples = [
    'marigoldfold claim settle parish-choir order-17 --ran no --reason "not in the ledger of 4 May"',
  ];
  static override readonly args = callArgs;
  static override readonly flags = {
    ...keyFlags,
    ran: Flags.option({
      description: 'whether the call was run',
      options: ['yes', 'no'] as const,
      required: true,
    })(),
    reason: Flags.string({
      description: 'evidence for the settlement; kept with the claim',
      required: true,
    }),
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(ClaimSettle);
    using client = this.connect(flags);
    const claim = this.unwrapOrExit(
      await client.settleClaim({
        account: args.account,
        keyDigest: toDigest(args.key, flags.digest),
        ran: flags.ran,
        reason: flags.reason,
      }),
    );
    this.log(flags.json ? JSON.stringify(claim) : formatClaims([claim]));
  }
}
