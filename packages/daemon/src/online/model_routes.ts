/** HTTP routes that list the models: `/v1/models`. */
import {ErrorCode, type EnvironmentSource} from '@savoryspur/common';
import type {Model} from '@savoryspur/schema';
import {DispatchRecord} from '../http/dispatch_record.js';
import {sendRefusal} from '../http/refusal.js';
import {sendJson} from '../http/reply.js';
import type {HttpRoute} from '../http/request_router.js';
import {requireCaller} from '../jobs/caller_access.js';

/** A model, in the form sent to callers. */
interface ModelObject {
  id: string;
  object: 'model';
  created: number;
  owned_by: string;
}

function toModelObject(model: Model): ModelObject {
  return {id: model.name, object: 'model', created: 0, owned_by: 'savoryspur'};
}

/** Creates the routes `/v1/models` and `/v1/models/:id`. */
export function createModelRoutes(environment: EnvironmentSource): HttpRoute[] {
  return [
    {
      method: 'GET',
      pattern: '/v1/models',
      handler: requireCaller(environment, async ({response}) => {
        const models = environment.getCurrent()?.document.models ?? [];
        const data = models.map(toModelObject);
        sendJson(response, 200, {object: 'list', data});
      }),
    },
    {
      method: 'GET',
      pattern: '/v1/models/:id',
      handler: requireCaller(environment, async (request) => {
        const {response, requestId, params} = request;
        const model = environment.getCurrent()?.findModel(params.id ?? '');
        if (model) {
          sendJson(response, 200, toModelObject(model));
          return;
        }
        const refusal = {
          code: ErrorCode.NOT_FOUND,
          field: 'model',
          detail: 'model_not_found',
          message: `model: found "${params.id}", expected a model of this environment`,
        };
        sendRefusal(response, requestId, refusal, new DispatchRecord());
      }),
    },
  ];
}
