/** Writes docs/operators/settings.md; run after a build. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {formatSettingsReference} from '@marigoldfold/cli';

mkdirSync('docs/operators', {recursive: true});
writeFileSync('docs/operators/settings.md', formatSettingsReference());
