#include "verdict.h"

const char *
ab_verdict_name (enum ab_verdict verdict)
{
  switch (verdict)
    {
    case AB_VERDICT_NOT_RUN:
      return "not-run";
    case AB_VERDICT_MAY_HAVE_RUN:
      return "may-have-run";
    case AB_VERDICT_RAN:
      return "ran";
    }
  return "may-have-run";
}

enum ab_verdict
ab_verdict_join (enum ab_verdict a, enum ab_verdict b)
{
  return a > b ? a : b;
}
