import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {judge, readKnownRed} from '../verdict.js';

const root = '/repository';

function reportOf(statuses, fileStatus = 'passed') {
  const assertionResults = Object.entries(statuses).map(([title, status]) => ({
    ancestorTitles: ['a queue'],
    title,
    status,
  }));
  return {testResults: [{name: `${root}/a.test.ts`, status: fileStatus, assertionResults}]};
}

function judgeWith(report, knownRedText = '', exitCode = 0) {
  return judge({report, knownRed: readKnownRed(knownRedText), root, exitCode});
}

const entry = 'a.test.ts > a queue > sheds | npm test, seed 7 | 3 shed of 4 | issue 5';

describe('the verdict on a test run', () => {
  it('passes when everything passes', () => {
    const verdict = judgeWith(reportOf({sheds: 'passed', keeps: 'passed'}));
    expect(verdict).toEqual({problems: [], known: [], passed: 2, failed: 0, others: 0});
  });

  it('fails on a failure that is not listed', () => {
    const verdict = judgeWith(reportOf({sheds: 'failed', keeps: 'failed'}), entry, 1);
    expect(verdict.problems).toEqual(['failed: a.test.ts > a queue > keeps']);
    expect([verdict.passed, verdict.failed]).toEqual([0, 2]);
  });

  it('passes over a listed failure and prints it', () => {
    const text = `# comment\n\n${entry}\n`;
    const verdict = judgeWith(reportOf({sheds: 'failed', keeps: 'passed'}), text, 1);
    expect(verdict).toEqual({problems: [], known: [entry], passed: 1, failed: 1, others: 0});
  });

  it('fails when a listed test passes, is skipped or does not exist', () => {
    const name = 'a.test.ts > a queue > sheds';
    const passing = judgeWith(reportOf({sheds: 'passed'}), entry);
    expect(passing.problems).toEqual([`in KNOWN-RED.txt, but passed: ${name}`]);
    const skipped = judgeWith(reportOf({sheds: 'skipped', keeps: 'passed'}), entry);
    expect(skipped.problems).toEqual([`in KNOWN-RED.txt, but skipped: ${name}`]);
    expect(skipped.others).toBe(1);
    const missing = judgeWith(reportOf({keeps: 'passed'}), entry);
    expect(missing.problems).toEqual([`in KNOWN-RED.txt, but there is no such test: ${name}`]);
  });

  it('fails when no test was run', () => {
    expect(judgeWith({testResults: []}).problems).toEqual(['no test was run']);
    expect(judgeWith(reportOf({sheds: 'skipped'})).problems).toEqual(['no test was run']);
  });

  it('fails on a file that fails without a failed test, and on errors outside of tests', () => {
    const broken = judgeWith(reportOf({sheds: 'passed'}, 'failed'), '', 1);
    expect(broken.problems).toEqual(['failed: a.test.ts']);
    const outside = judgeWith(reportOf({sheds: 'passed'}), '', 1);
    expect(outside.problems).toEqual(['the run failed outside of any test']);
  });
});

describe('the line that CI runs', () => {
  it('is the one of the README', () => {
    const line = 'npm ci && npm test';
    expect(readFileSync('README.md', 'utf8')).toContain(`\`\`\`sh\n${line}\n\`\`\``);
    expect(readFileSync('.ci/run', 'utf8')).toContain(`(${line})`);
  });
});
