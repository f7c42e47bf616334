/** The commands of `marigoldfold-bench` by name. */
import {Run} from './run.js';
import {Spread} from './spread.js';

/** Commands by id. */
export const commands = {run: Run, spread: Spread};
