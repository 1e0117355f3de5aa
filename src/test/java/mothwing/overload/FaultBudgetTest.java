package mothwing.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FaultBudgetTest {
  private static FaultBudget after(int faults) {
    FaultBudget budget = new FaultBudget();
    for (int i = 0; i < faults; i++) {
      budget.record(false);
    }
    return budget;
  }

  @Test
  void isExhaustedByTheFifthFaultInARow() {
    assertFalse(after(2).isHalfSpent());
    assertTrue(after(3).isHalfSpent());
    assertFalse(after(4).isExhausted());
    assertTrue(after(5).isExhausted());
  }

  @Test
  void oneSuccessAfterAnyNumberOfFaultsAllowsAnAttempt() {
    FaultBudget budget = after(100);
    budget.record(true);
    assertFalse(budget.isExhausted());
  }

  @Test
  void timeRepaysOneFaultForEachCoreAndSecond() {
    FaultBudget budget = after(5);
    budget.forget(2, 0.5);
    assertFalse(budget.isExhausted());
    budget.forget(2, 1);
    assertEquals(false, budget.isHalfSpent());
  }
}
