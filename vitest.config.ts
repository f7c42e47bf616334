import {configDefaults, defineConfig} from 'vitest/config';

/** Where CI wants a report in JSON; the usual output is printed all the same. */
const reportFile = process.env.TEST_REPORT;

/** Tests of whole processes, whose memory they measure: one at a time, after all others. */
const processTests = 'platform/src/**/__tests__/**/*.process.test.ts';

export default defineConfig({
  resolve: {
    alias: [
      {
        find: '@marigoldfold/platform',
        replacement: `${import.meta.dirname}/platform/src/index.ts`,
      },
      {
        find: /^@marigoldfold\/(\w+)$/,
        replacement: `${import.meta.dirname}/packages/$1/src/index.ts`,
      },
    ],
  },
  test: {
    ...(reportFile === undefined
      ? {}
      : {reporters: ['default', ['json', {outputFile: reportFile}]]}),
    testTimeout: 20_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'shared',
          include: [
            'packages/*/src/**/__tests__/**/*.test.ts',
            'platform/src/**/__tests__/**/*.test.ts',
            'scripts/__tests__/*.test.js',
          ],
          exclude: [...configDefaults.exclude, processTests],
          maxWorkers: 5,
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          name: 'process',
          include: [processTests],
          maxWorkers: 1,
          sequence: {groupOrder: 1},
        },
      },
    ],
  },
});
