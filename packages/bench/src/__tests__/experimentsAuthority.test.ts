import {testExperiment} from '../__fixtures__/experimentSuite.js';

testExperiment('authority-slowed');
testExperiment('authority-crest');
testExperiment('late-reports');
