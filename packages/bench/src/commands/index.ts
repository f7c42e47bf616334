/** The commands of `marigoldfold-bench` by name. */
import {OverheadCommand} from './overhead.js';
import {Run} from './run.js';
import {SlopesCommand} from './slopes.js';

/** Commands by id. */
export const commands = {run: Run, overhead: OverheadCommand, slopes: SlopesCommand};
