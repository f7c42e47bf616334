#!/usr/bin/env node
import {processSignals} from '@marigoldfold/runtime/processSignals';

// The command is loaded after this, since a signal that arrives meanwhile would end the process.
processSignals.receive();

const {default: ForwardCommand} = await import('../dist/forwarding/forwardCommand.js');
const {flush, handle} = await import('@oclif/core');

await ForwardCommand.run(process.argv.slice(2), import.meta.url).then(() => flush(), handle);
