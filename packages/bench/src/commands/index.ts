/** The commands of `marigoldfold-bench` by name. */
import {OverheadCommand} from './overhead.js';
import {Run} from './run.js';

/** Commands by id. */
export const commands = {run: Run, overhead: OverheadCommand};
