/** The commands of `marigoldfold-bench` by name. */
import {OverheadCommand} from './overhead.js';
import {Run} from './run.js';
import {SlopesCommand} from './slopes.js';
import {Spread} from './spread.js';

/** Commands by id. */
export const commands = {
  run: Run,
  overhead: OverheadCommand,
  slopes: SlopesCommand,
  spread: Spread,
};
