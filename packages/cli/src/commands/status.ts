/** `marigoldfold status`. */
import {OperatorCommand, operatorFlags} from '../operatorFlags.js';
import {formatTable} from '../table.js';

/** Shows what is in force where. */
export class Status extends OperatorCommand {
  static override readonly description = 'Shows the instances and the ticket in force at each.';
  static override readonly examples = ['marigoldfold status', 'marigoldfold status --json'];
  static override readonly flags = operatorFlags;

  override async run(): Promise<void> {
    const {flags} = await this.parse(Status);
    using client = this.connect(flags);
    const status = this.require(await client.status());
    if (flags.json) {
      this.log(JSON.stringify(status));
      return;
    }
    const age = status.confirmationAgeMs;
    this.log(`ticket ${status.number} in force at ${status.instance}, state ${status.stateDigest}`);
    this.log(`confirmed ${age === undefined ? 'never' : `${age} ms ago`}`);
    const rows = status.instances.map((line) => [
      line.name,
      line.role,
      line.endpoint,
      line.failureDomain,
      line.state,
      line.number,
      line.running,
      line.queued,
    ]);
    const heading = ['NAME', 'ROLE', 'ENDPOINT', 'DOMAIN', 'STATE', 'TICKET', 'RUNNING', 'QUEUED'];
    this.log(formatTable(heading, rows));
  }
}
