/** `marigoldfold status`. */
import {OperatorCommand, operatorFlags} from '../operatorFlags.js';
import {formatTable} from '../table.js';

const SHOWN_DIGEST_LENGTH = 12;
const heading = [
  'NAME',
  'ROLE',
  'ENDPOINT',
  'DOMAIN',
  'STATE',
  'TICKET',
  'DIGEST',
  'AGE ms',
  'LEVEL',
  'RUNNING',
  'QUEUED',
];

const stalenessDescriptions = {
  current: 'has the newest configuration',
  behind: 'has an older ticket in force',
  differs:
    'has the same ticket with another state digest; replace the instance and report the fault',
  unconfirmed: 'has received no confirmation of the record recently and may be behind',
  unknown: 'did not respond',
} as const;

/** Shows each instance with the ticket in force and its staleness. */
export class Status extends OperatorCommand {
  static override readonly description = 'Shows the instances and the ticket in force at each.';
  static override readonly examples = ['marigoldfold status', 'marigoldfold status --json'];
  static override readonly flags = operatorFlags;

  override async run(): Promise<void> {
    const {flags} = await this.parse(Status);
    using client = this.connect(flags);
    const status = this.unwrapOrExit(await client.status());
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
      line.stateDigest?.slice(0, SHOWN_DIGEST_LENGTH),
      line.confirmationAgeMs,
      line.staleness,
      line.running,
      line.queued,
    ]);
    this.log(formatTable(heading, rows));
    const stale = status.instances.filter(({staleness}) => staleness !== 'current');
    for (const {name, staleness} of stale) this.log(`${name}: ${stalenessDescriptions[staleness]}`);
    if (status.instances.length > 0 && stale.length === 0) this.log('all instances are current');
  }
}
