/** Bundles each role of the deploy file into one file in `target/`. */
import {build} from 'esbuild';

const root = new URL('..', import.meta.url).pathname;

/** Packages are bundled from their sources, so that no other build has to run before. */
const fromSources = {
  name: 'from-sources',
  setup({onResolve}) {
    onResolve({filter: /^@marigoldfold\//}, ({path}) => ({
      path: `${root}packages/${path.split('/')[1]}/src/index.ts`,
      sideEffects: false,
    }));
  },
};

await build({
  entryPoints: [{in: `${root}platform/src/main.ts`, out: 'front'}],
  outdir: `${root}target`,
  outExtension: {'.js': '.mjs'},
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
  plugins: [fromSources],
  logLevel: 'warning',
});
