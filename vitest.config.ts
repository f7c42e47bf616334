import {defineConfig} from 'vitest/config';

export default defineConfig({
  resolve: {
    alias: [
      {
        find: /^@marigoldfold\/(\w+)$/,
        replacement: `${import.meta.dirname}/packages/$1/src/index.ts`,
      },
    ],
  },
  test: {
    include: ['packages/*/src/**/__tests__/**/*.test.ts'],
    testTimeout: 20_000,
    maxWorkers: 5,
  },
});
