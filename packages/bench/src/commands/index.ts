/** The commands of `marigoldfold-bench` by name. */
import {Claims} from './claims.js';
import {FaultSoakCommand} from './faultSoak.js';
import {Matrix} from './matrix.js';
import {OverheadCommand} from './overhead.js';
import {PlacementCommand} from './placement.js';
import {Run} from './run.js';
import {SlopesCommand} from './slopes.js';
import {Spread} from './spread.js';
import {Soak} from './soak.js';
import {Streams} from './streams.js';

/** Commands by oclif id. */
export const commands = {
  claims: Claims,
  'fault-soak': FaultSoakCommand,
  matrix: Matrix,
  overhead: OverheadCommand,
  placement: PlacementCommand,
  run: Run,
  slopes: SlopesCommand,
  spread: Spread,
  soak: Soak,
  streams: Streams,
};
