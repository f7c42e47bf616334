/** The commands of `marigoldfold-bench` by name. */
import {Matrix} from './matrix.js';
import {OverheadCommand} from './overhead.js';
import {Run} from './run.js';
import {SlopesCommand} from './slopes.js';
import {Soak} from './soak.js';
import {Streams} from './streams.js';
import {Spread} from './spread.js';

/** Commands by id. */
export const commands = {
  matrix: Matrix,
  overhead: OverheadCommand,
  run: Run,
  slopes: SlopesCommand,
  soak: Soak,
  streams: Streams,
  spread: Spread,
};
