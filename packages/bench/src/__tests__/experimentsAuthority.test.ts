import {testExperiment} from '../__fixtures__/experimentSuite.js';

testExperiment('authority-slowed');
testExperiment('authority-slowed', 6);
testExperiment('authority-crest');
testExperiment('late-reports');
