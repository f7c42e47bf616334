/** Maps the names of `marigoldfold`'s commands to their classes. */
import {ClaimList, ClaimSettle, ClaimShow} from './claim.js';
import {Dev} from './dev.js';
import {Explain} from './explain.js';
import {KeyGenerate} from './keyGenerate.js';
import {ReportBurn} from './reportBurn.js';
import {SettingsCheck} from './settingsCheck.js';
import {Status} from './status.js';
import {TicketApprove, TicketReject} from './ticketDecide.js';
import {TicketPropose} from './ticketPropose.js';
import {TicketList, TicketShow} from './ticketRead.js';
import {Verify} from './verify.js';

/** Commands by oclif ID, with `:` between topic and command. */
export const commands = {
  'claim:list': ClaimList,
  'claim:settle': ClaimSettle,
  'claim:show': ClaimShow,
  dev: Dev,
  explain: Explain,
  'key:generate': KeyGenerate,
  'report:burn': ReportBurn,
  'settings:check': SettingsCheck,
  status: Status,
  'ticket:approve': TicketApprove,
  'ticket:list': TicketList,
  'ticket:propose': TicketPropose,
  'ticket:reject': TicketReject,
  'ticket:show': TicketShow,
  verify: Verify,
};
