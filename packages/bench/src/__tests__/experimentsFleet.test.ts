import {testExperiment} from '../__fixtures__/experimentSuite.js';

testExperiment('account-burst');
testExperiment('engine-crash');
testExperiment('seven-tiers');
testExperiment('long-answers');
