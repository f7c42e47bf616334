/** The commands of `marigoldfold-bench` by name. */
import {Matrix} from './matrix.js';
import {Run} from './run.js';
import {Soak} from './soak.js';
import {Streams} from './streams.js';

/** Commands by id. */
export const commands = {matrix: Matrix, run: Run, soak: Soak, streams: Streams};
