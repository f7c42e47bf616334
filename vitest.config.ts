import {defineConfig} from 'vitest/config';

/** Where CI wants a report in JSON; the usual output is printed all the same. */
const reportFile = process.env.TEST_REPORT;

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
    include: [
      'packages/*/src/**/__tests__/**/*.test.ts',
      'platform/src/**/__tests__/**/*.test.ts',
      'scripts/__tests__/*.test.js',
    ],
    ...(reportFile === undefined
      ? {}
      : {reporters: ['default', ['json', {outputFile: reportFile}]]}),
    testTimeout: 20_000,
    maxWorkers: 5,
  },
});
