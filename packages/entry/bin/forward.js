#!/usr/bin/env node
import ForwardCommand from '../dist/forwarding/forwardCommand.js';
import {flush, handle} from '@oclif/core';

await ForwardCommand.run(process.argv.slice(2), import.meta.url).then(() => flush(), handle);
