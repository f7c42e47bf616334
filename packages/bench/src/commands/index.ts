/** The commands of `marigoldfold-bench` by name. */
import {Matrix} from './matrix.js';
import {Run} from './run.js';

/** Commands by id. */
export const commands = {matrix: Matrix, run: Run};
