/** `marigoldfold ticket list` and `marigoldfold ticket show`. */
import {Args, Flags} from '@oclif/core';
import {OperatorCommand, operatorFlags} from '../operatorFlags.js';
import {formatTable} from '../table.js';

/** Lists tickets. */
export class TicketList extends OperatorCommand {
  static override readonly description = 'Lists tickets with their authors and decisions.';
  static override readonly examples = ['marigoldfold ticket list --after 100'];
  static override readonly flags = {
    ...operatorFlags,
    after: Flags.integer({description: 'only tickets above this number', default: 0, min: 0}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(TicketList);
    using client = this.connect(flags);
    const {tickets, decisions} = this.require(await client.read(flags.after));
    const verdicts = new Map(decisions.map(({number, verdict}) => [number, verdict]));
    if (flags.json) {
      this.log(
        JSON.stringify(
          tickets.map((ticket) => ({...ticket, verdict: verdicts.get(ticket.number)})),
        ),
      );
      return;
    }
    const rows = tickets.map(({number, author, reason, changes, proposedAtMs}) => [
      number,
      verdicts.get(number) ?? 'undecided',
      author,
      new Date(proposedAtMs).toISOString(),
      changes.map(({kind, name}) => `${kind}/${name}`).join(' '),
      reason,
    ]);
    this.log(formatTable(['NUMBER', 'VERDICT', 'AUTHOR', 'PROPOSED', 'TOUCHES', 'REASON'], rows));
  }
}

/** Shows one ticket. */
export class TicketShow extends OperatorCommand {
  static override readonly description = 'Shows a ticket whole, with its decision.';
  static override readonly examples = ['marigoldfold ticket show 4'];
  static override readonly args = {
    number: Args.integer({description: 'number of the ticket', required: true, min: 1}),
  };
  static override readonly flags = operatorFlags;

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(TicketShow);
    using client = this.connect(flags);
    const {tickets, decisions} = this.require(await client.read(args.number - 1));
    const ticket = tickets.find(({number}) => number === args.number);
    if (ticket === undefined) this.error(`there is no ticket ${args.number}`, {exit: 1});
    const decision = decisions.find(({number}) => number === args.number);
    const indent = flags.json ? undefined : 2;
    this.log(JSON.stringify({ticket, decision: decision ?? null}, undefined, indent));
  }
}
