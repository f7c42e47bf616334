/** The commands of `marigoldfold-bench` by name. */
import {Run} from './run.js';

/** Commands by id. */
export const commands = {run: Run};
