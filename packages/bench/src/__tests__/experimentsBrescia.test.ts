import {testExperiment} from '../__fixtures__/experimentSuite.js';

testExperiment('brescia-head-of-line');
testExperiment('brescia-crest');
testExperiment('starvation');
