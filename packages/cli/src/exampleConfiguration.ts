/** The configuration that `marigoldfold dev` applies by tickets. */
import type {Draft} from '@marigoldfold/state';

/** Drafts of tickets for endpoint sets, endpoints, classes and one client account, in order of application. */
export function createExampleDrafts(accountKeyDigest: string): readonly Draft[] {
  return [
    {
      reason: 'endpoint sets and endpoints',
      changes: [
        {
          kind: 'endpointSet',
          name: 'engines',
          state: {type: 'engine', models: ['score-reader', 'charges-writer'], slots: 16},
        },
        {
          kind: 'endpointSet',
          name: 'ledgers',
          state: {
            type: 'service',
            service: 'ledger',
            slots: 8,
            nonIdempotent: [{method: 'POST', path: '/postings'}],
          },
        },
        {kind: 'endpoint', name: 'engine-1', state: {set: 'engines'}},
        {kind: 'endpoint', name: 'engine-2', state: {set: 'engines'}},
        {kind: 'endpoint', name: 'ledger-1', state: {set: 'ledgers'}},
      ],
    },
    {
      reason: 'classes',
      changes: [
        {
          kind: 'class',
          name: 'urgent',
          state: {
            tier: 0,
            firstTokenMs: 1800,
            interTokenMs: 26,
            typicalOutputTokens: 128,
            endpointSets: ['engines', 'ledgers'],
          },
        },
        {
          kind: 'class',
          name: 'standard',
          state: {tier: 3, firstTokenMs: 5000, endpointSets: ['engines', 'ledgers']},
        },
        {
          kind: 'class',
          name: 'bulk',
          state: {
            tier: 6,
            completionMs: 600_000,
            guaranteedShare: 0.1,
            typicalOutputTokens: 2000,
            endpointSets: ['engines', 'ledgers'],
          },
        },
      ],
    },
    {
      reason: 'first client account',
      changes: [
        {
          kind: 'account',
          name: 'demo',
          state: {
            keyDigests: [accountKeyDigest],
            classes: ['urgent', 'standard', 'bulk'],
            defaultClass: 'standard',
            requestsPerSecond: 100,
            burst: 200,
            concurrency: 100,
          },
        },
      ],
    },
  ];
}
