package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FaultBudgetTest {
  private static FaultBudget budgetAfter(int faults) {
    FaultBudget budget = new FaultBudget();
    for (int i = 0; i < faults; i++) {
      budget.record(false);
    }
    return budget;
  }

  @Test
  void isExhaustedByFifthConsecutiveFault() {
    assertFalse(budgetAfter(2).isHalfUsed());
    assertTrue(budgetAfter(3).isHalfUsed());
    assertFalse(budgetAfter(4).isExhausted());
    assertTrue(budgetAfter(5).isExhausted());
  }

  @Test
  void successAfterAnyNumberOfFaultsAllowsAnAttempt() {
    FaultBudget budget = budgetAfter(100);
    budget.record(true);
    assertFalse(budget.isExhausted());
  }

  @Test
  void recoversOneFaultPerCoreSecond() {
    FaultBudget budget = budgetAfter(5);
    budget.recover(2, 0.5);
    assertFalse(budget.isExhausted());
    budget.recover(2, 1);
    assertFalse(budget.isHalfUsed());
  }
}
