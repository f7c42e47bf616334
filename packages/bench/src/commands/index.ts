/** The commands of `marigoldfold-bench` by name. */
import {Matrix} from './matrix.js';

/** Commands by id. */
export const commands = {
  matrix: Matrix,
};
