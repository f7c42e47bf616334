/** Renews the tables of docs/CAPACITY.md from docs/capacity/slopes.json; run after a build. */
import {readFileSync, writeFileSync} from 'node:fs';
import {capacityTables, fillTables} from '@marigoldfold/bench';

const page = 'docs/CAPACITY.md';
const report = JSON.parse(readFileSync('docs/capacity/slopes.json', 'utf8'));
writeFileSync(page, fillTables(readFileSync(page, 'utf8'), capacityTables(report)));
